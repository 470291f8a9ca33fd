package dispatch

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/fleet"
)

// TestHeldFailures checks that only a failure that may reach the client is held back while another
// runner is tried: the deadline may pass before that runner answers.
func TestHeldFailures(t *testing.T) {
	for name, test := range map[string]struct {
		status    int
		ownErrors bool
		held      bool
	}{
		"a failure":                      {status: http.StatusInternalServerError, held: true},
		"a failure that promises no run": {status: http.StatusServiceUnavailable},
		"errors of the node":             {status: http.StatusInternalServerError, ownErrors: true},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{
				route:   &config.Route{Kind: config.Safe, Attempts: 3},
				request: &Request{OwnErrors: test.ownErrors},
			}
			_, err := j.runnerFailed(fleet.Choice{}, &bufferedAnswer{status: test.status})
			assert.Assert(t, err != nil, "another runner is tried")
			assert.Equal(t, j.heldFailure != nil, test.held)
		})
	}
}
