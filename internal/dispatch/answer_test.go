package dispatch

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
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

// TestAnswerToHeadLostItsLength: the length in an answer to HEAD is that of a body which does not follow, and
// reaches the client as the runner gave it.
func TestAnswerToHeadLostItsLength(t *testing.T) {
	for name, test := range map[string]struct{ method, given, want string }{
		"HEAD":            {http.MethodHead, "12", "12"},
		"HEAD, no length": {http.MethodHead, "", ""},
		"GET":             {http.MethodGet, "12", "4"},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			j := &job{request: &Request{Method: test.method}, writer: recorder}
			buffered := &bufferedAnswer{status: http.StatusOK, header: http.Header{}, framing: upstream.FramedByLength}
			if test.given != "" {
				buffered.header.Set("Content-Length", test.given)
			}
			if test.method != http.MethodHead {
				buffered.body = []byte("body")
			}
			j.writeBuffered(buffered, ResultServed, true)
			assert.Equal(t, recorder.Result().Header.Get("Content-Length"), test.want)
		})
	}
}
