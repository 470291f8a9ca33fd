package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
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

// TestStaleRelayAnswersAtOnce: a reader is not kept waiting for an answer that it passes over.
func TestStaleRelayAnswersAtOnce(t *testing.T) {
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Log: logr.Discard()})
	r.noteStore()
	r.heard = time.Now().Add(-2 * maxAge)
	response, err := r.Follow(t.Context(), wire.FollowRequest{Table: string(testTable), HoldMs: maxHoldMs})
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(response.AgeMs)*time.Millisecond > maxAge)
}

// TestReaderStayedWithStaleRelay: a node whose relay has not heard of the store reads from one
// that a peer names; a peer that names the same relay changes nothing, a newer relay goes first.
func TestReaderStayedWithStaleRelay(t *testing.T) {
	relay, reader, newer := Peer{Address: "10.0.0.2:1", Token: 3}, Peer{Address: "10.0.0.3:1"}, Peer{Address: "10.0.0.4:1", Token: 4}
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Log: logr.Discard()})
	r.hint = relay
	assert.Equal(t, r.Upstream(), relay)
	r.changeTo(relay, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), relay)
	found := r.Found()
	r.changeTo(reader, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), reader)
	<-found
	r.changeTo(Peer{Address: "10.0.0.6:1"}, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), reader)
	r.changeTo(newer, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), newer)
}
