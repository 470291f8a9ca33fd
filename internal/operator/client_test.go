package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/wire"
)

// TestBrokenWatchLookedComplete: the connection of a watch broke off, and the watch ended without an
// error.
func TestBrokenWatchLookedComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	client := NewClient(strings.TrimPrefix(server.URL, "http://"))
	err := client.Watch(t.Context(), 0, func(wire.Entry) error { return nil })
	assert.Assert(t, err != nil)
}
