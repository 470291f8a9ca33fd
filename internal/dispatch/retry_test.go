package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fleet"
	"lilacvane/internal/retry"
	"lilacvane/internal/upstream"
)

// TestOnlyRunnerIsTriedAgainAfterItsRefusal: the only runner of a model states that it did not run
// the request, as the model is still loading or all slots are taken. It is tried again a moment
// later and serves the request. A runner that broke off the connection may have run the request and
// is not tried again.
func TestOnlyRunnerIsTriedAgainAfterItsRefusal(t *testing.T) {
	for _, test := range []struct {
		name   string
		refuse func(w http.ResponseWriter)
		status int
	}{
		{"not held", func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }, http.StatusOK},
		{"full", func(w http.ResponseWriter) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusOK},
		{"broken off", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				if received.Add(1) == 1 {
					test.refuse(w)
					return
				}
				w.Header().Set("X-Signature", "s")
				_, _ = w.Write([]byte("whole"))
			}))
			defer runner.Close()
			runnerFleet := fleet.New("zone", time.Now, noRules{})
			runnerFleet.Replace([]backend.Runner{{ID: "r1", Service: "s", Slots: 1, Address: strings.TrimPrefix(runner.URL, "http://"), Models: []backend.Holding{{Model: "alpha"}}}}, false)
			names := upstream.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", ExpectRunner: "X-Runner", Signature: "X-Signature", NotRun: "X-Not-Run", Urgency: "X-Urgency"}
			written := httptest.NewRecorder()
			j := waitingFor(runnerFleet, 10*time.Second)
			j.dispatcher.Pool, j.dispatcher.Headers = upstream.NewPool(names), names
			j.dispatcher.Retries = retry.Limits{Ratio: 1, Slack: 100, Window: time.Second}
			j.writer = written
			j.route = &config.Route{Kind: config.Unsafe, Attempts: 2, Objective: 3 * time.Second}
			j.request = &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Arrived: time.Now()}
			for j.attempt(t.Context()) {
			}
			assert.Equal(t, written.Code, test.status, "%s", written.Body)
		})
	}
}
