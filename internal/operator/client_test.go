package operator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/catalog"
	"lilacvane/internal/fault"
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

// watchCatalog watches the entries of a catalog from the first on. Entries and the error that ends the watch are
// sent to the channels.
func watchCatalog(t *testing.T, c *catalog.Catalog) (entries <-chan wire.Entry, ended <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(nil, c, "node", nil, http.NotFoundHandler())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	got, end := make(chan wire.Entry), make(chan error, 1)
	go func() {
		end <- NewClient(listener.Addr().String()).Watch(t.Context(), 0, func(entry wire.Entry) error {
			got <- entry
			return nil
		})
	}()
	return got, end
}

// TestWatchWithoutItsEntriesEndedWithoutError: the error by which a node ends a watch whose entries it does not
// keep was taken for a heartbeat.
func TestWatchWithoutItsEntriesEndedWithoutError(t *testing.T) {
	c := catalog.New()
	c.ApplySnapshot(7, nil)
	_, ended := watchCatalog(t, c)
	assert.Assert(t, fault.IsCode(<-ended, fault.CodeNotFound))
}

// TestWatchPassedOverEntriesOfAnotherHistory: a watch went on from its revision after the log had been replaced by
// that of a restored store, and passed over the entries up to that revision.
func TestWatchPassedOverEntriesOfAnotherHistory(t *testing.T) {
	c := catalog.New()
	c.Apply([]wire.Entry{{Revision: 1, Operation: "first"}, {Revision: 2, Operation: "lost"}})
	entries, ended := watchCatalog(t, c)
	assert.Equal(t, (<-entries).Operation, "first")
	assert.Equal(t, (<-entries).Operation, "lost")
	c.Reset(2, nil, []wire.Entry{{Revision: 1, Operation: "first"}, {Revision: 2, Operation: "another"}})
	assert.Assert(t, fault.IsCode(<-ended, fault.CodeNotFound))
}
