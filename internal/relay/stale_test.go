package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

// TestStaleRelayIsToldOnce: one line says that a relay has not heard of the store, and one
// that it has again.
func TestStaleRelayIsToldOnce(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Log: log})
	relay := Peer{Address: "10.0.0.2:1", Token: 1}
	old := fault.New(fault.CodeStale, "hear store", "the relay heard of the store %v ago", time.Hour)
	for range 3 {
		r.noteStale(relay, testTable, old)
	}
	assert.Equal(t, len(lines), 1)
	r.noteRelay()
	r.noteRelay()
	assert.Equal(t, len(lines), 2)
	r.noteStale(relay, testTable, old)
	assert.Equal(t, len(lines), 3)
}
