package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
)

// serveUnknownRoute serves a request that no route matches.
func serveUnknownRoute(t *testing.T, origin ConfigurationOrigin) (Outcome, *httptest.ResponseRecorder) {
	t.Helper()
	d := &Dispatcher{
		Configuration:       func() *config.Configuration { return &config.Configuration{Revision: 7} },
		ConfigurationOrigin: func() ConfigurationOrigin { return origin },
		MaxPropagationDelay: 3 * time.Second,
		AwaitFresh:          func(context.Context) {},
		Log:                 logr.Discard(),
	}
	answer := httptest.NewRecorder()
	return d.Serve(t.Context(), answer, &Request{Host: "a.example", Path: "/b", Arrived: time.Now()}), answer
}

// TestUnknownRouteReportsConfigurationOrigin checks that the outcome of a request that no route
// matches says which configuration decided, how old it is, and where it came from.
func TestUnknownRouteReportsConfigurationOrigin(t *testing.T) {
	origin := ConfigurationOrigin{Age: 3 * time.Second, Source: "10.0.0.2:7200"}
	outcome, _ := serveUnknownRoute(t, origin)
	assert.Equal(t, outcome.Status, http.StatusNotFound)
	assert.Equal(t, outcome.Revision, uint64(7))
	assert.Equal(t, *outcome.ConfigurationOrigin, origin)
}

// TestOldConfigurationDeniedARoute: a node whose configuration is older than MaxPropagationDelay
// must not answer with a permanent error that there is no route.
func TestOldConfigurationDeniedARoute(t *testing.T) {
	outcome, answer := serveUnknownRoute(t, ConfigurationOrigin{Age: 3*time.Second + time.Millisecond})
	assert.Equal(t, outcome.Status, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
}
