package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/overload"
	"lilacvane/internal/settings"
	"lilacvane/internal/stop"
	"lilacvane/internal/upstream"
)

// silentClaims are claims of a store that does not answer. Calls end with their context.
type silentClaims struct{}

func (silentClaims) Take(ctx context.Context, _, _ string) error {
	<-ctx.Done()
	return fault.At(fault.CodeClaimsUnavailable, "claim key", fault.Self, fault.NotDone, ctx.Err())
}

func (silentClaims) Release(ctx context.Context, _, _ string) bool {
	<-ctx.Done()
	return false
}

// newStoppingServer returns a server whose claims are given, and its call with a key.
func newStoppingServer(claims Claims) (*Server, *http.Request) {
	configuration := &config.Configuration{
		Names: map[string]config.ModelTarget{"alpha": {Service: "s", Unit: backend.Unit{Model: "alpha"}, Replicas: 1}},
	}
	s := New(Options{
		Node: "n", Headers: upstream.HeaderNames{Model: "M", Tokens: "T", Prompt: "P"}, Dispatcher: &dispatch.Dispatcher{Log: logr.Discard()},
		Configuration: func() *config.Configuration { return configuration }, Claims: claims, Load: overload.NewMonitor(logr.Discard()),
		Accept: func() error { return nil },
	})
	r := httptest.NewRequest(http.MethodPost, pathComplete, strings.NewReader(`{"model":"alpha","prompt":"p","max_tokens":4}`))
	r.Header.Set(api.HeaderIdempotencyKey, "key")
	r.Header.Set("Content-Type", "application/json")
	return s, r
}

// TestStopWaitedForClaims: a call waits for the claim of its key, which the store does not answer, as its node
// begins to stop. It is refused as not run as soon as it may not begin any more, and may come back once its key is
// given back.
func TestStopWaitedForClaims(t *testing.T) {
	for name, notice := range map[string]time.Duration{"within the notice": 3 * time.Second, "without a notice": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, r := newStoppingServer(silentClaims{})
				schedule := stop.NewSchedule(time.Now().Add(time.Second), settings.Stop{Grace: 8 * time.Second, Notice: notice})
				time.AfterFunc(time.Second, func() { s.Dispatcher.Stop.Start(schedule) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := s.prepare(r.WithContext(ctx), "id")
				assert.Assert(t, time.Since(schedule.LatestOpen) <= time.Millisecond, "refused %s late", time.Since(schedule.LatestOpen))
				assert.Assert(t, fault.IsCode(err, fault.CodeDraining), "%v", err)
				assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
				assert.Equal(t, fault.From(err, "").RetryAfter, retryAfterRelease)
			})
		})
	}
}

// TestRefusalOfStopWaitedForRelease: a node that stops can't give back the key of a call that it refuses, as the store does
// not answer. The refusal comes all the same, with the time after which the key is given back.
func TestRefusalOfStopWaitedForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newStoppingServer(silentClaims{})
		s.Dispatcher.Stop.Start(stop.NewSchedule(time.Now(), settings.Stop{Grace: 8 * time.Second}))
		begun := time.Now()
		assert.Equal(t, s.releaseKey(r.Context(), "key", "id"), retryAfterRelease)
		assert.Equal(t, time.Since(begun), releaseWait)
	})
}
