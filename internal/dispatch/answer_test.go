package dispatch

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/fleet"
)

// TestKeptFailures: only a failure that may reach the client is kept while
// another runner is tried, as the time may end before that one answers.
func TestKeptFailures(t *testing.T) {
	for name, test := range map[string]struct {
		status    int
		ownErrors bool
		kept      bool
	}{
		"a failure":                      {status: http.StatusInternalServerError, kept: true},
		"a failure that promises no run": {status: http.StatusServiceUnavailable},
		"the node states errors itself":  {status: http.StatusInternalServerError, ownErrors: true},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{
				route:   &config.Route{Kind: config.Safe, Attempts: 3},
				request: &Request{OwnErrors: test.ownErrors},
			}
			_, err := j.runnerFailed(fleet.Choice{}, &wholeAnswer{status: test.status})
			assert.Assert(t, err != nil, "another runner is tried")
			assert.Equal(t, j.last != nil, test.kept)
		})
	}
}
