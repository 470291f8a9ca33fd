package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
)

// TestEndsOfResumedStreamsAndDenialsCountedAsDurations: a stream that its client resumes near its end, and a
// runner's own refusal, do not tell how long a request of their route runs.
func TestEndsOfResumedStreamsAndDenialsCountedAsDurations(t *testing.T) {
	for name, status := range map[string]int{"resumed": http.StatusOK, "denied": http.StatusNotFound} {
		t.Run(name, func(t *testing.T) {
			runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				w.Header().Set("X-Signature", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "id: 9\ndata: last\n\n")
			}))
			t.Cleanup(runner.Close)
			j, _ := oneRunnerJob(runner.Listener.Addr().String())
			for range minDurations {
				answer := httptest.NewRecorder()
				next := &job{dispatcher: j.dispatcher, request: j.request, writer: answer, query: j.query, deadline: time.Now().Add(10 * time.Second)}
				next.route = &config.Route{Name: "long", Kind: config.Stream, Resumable: true, Attempts: 1}
				next.outcome.Route = "long"
				next.request.Arrived, next.request.ResumeAfter = time.Now(), "8"
				for next.attempt(t.Context()) {
				}
				next.closeStream(t.Context())
				outcome := next.finish()
				assert.Equal(t, outcome.Status, status)
				t.Log(outcome.Result, outcome.Total-outcome.Placed)
			}
			assert.Equal(t, j.dispatcher.durations.expect("long"), time.Duration(0))
		})
	}
}
