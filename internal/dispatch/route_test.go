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

// TestUnknownRouteTellsWhatIsKnown: the outcome of a request that no route matches says which
// configuration decided, how old its source's answer is, and whose.
func TestUnknownRouteTellsWhatIsKnown(t *testing.T) {
	known := Knowledge{Age: 3 * time.Second, Source: "10.0.0.2:7200"}
	d := &Dispatcher{
		Configuration: func() *config.Configuration { return &config.Configuration{Revision: 7} },
		Knowledge:     func() Knowledge { return known },
		Fresh:         func(context.Context) {},
		Log:           logr.Discard(),
	}
	outcome := d.Serve(t.Context(), httptest.NewRecorder(), &Request{Host: "a.example", Path: "/b", Arrived: time.Now()})
	assert.Equal(t, outcome.Status, http.StatusNotFound)
	assert.Equal(t, outcome.Revision, uint64(7))
	assert.Equal(t, *outcome.Knowledge, known)
}
