package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
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
			j, written := oneRunnerJob(strings.TrimPrefix(runner.URL, "http://"))
			for j.attempt(t.Context()) {
			}
			assert.Equal(t, written.Code, test.status, "%s", written.Body)
		})
	}
}
