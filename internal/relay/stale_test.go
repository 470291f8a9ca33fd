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

// TestStaleRelayIsLoggedOnce checks that one line is logged when a relay has not reached the store,
// and one when it has again.
func TestStaleRelayIsLoggedOnce(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Log: log})
	relay := Peer{Address: "10.0.0.2:1", Token: 1}
	old := fault.New(fault.CodeStale, "hear store", "the relay heard of the store %v ago", time.Hour)
	for range 3 {
		r.recordStaleRelay(relay, testTable, old)
	}
	assert.Equal(t, len(lines), 1)
	r.recordRelayAnswer()
	r.recordRelayAnswer()
	assert.Equal(t, len(lines), 2)
	r.recordStaleRelay(relay, testTable, old)
	assert.Equal(t, len(lines), 3)
}

// TestStaleRelayAnswersAtOnce checks that a reader does not wait for an answer that it will
// discard.
func TestStaleRelayAnswersAtOnce(t *testing.T) {
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Log: logr.Discard()})
	r.recordStoreAnswer()
	r.storeAnswered = time.Now().Add(-2 * maxAge)
	response, err := r.Follow(t.Context(), wire.FollowRequest{Table: string(testTable), HoldMs: maxHoldMs})
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(response.AgeMs)*time.Millisecond > maxAge)
}

// TestNodeSwitchesFromStaleRelay checks that a node whose relay has not reached the store switches
// to a reader that a peer names, that a peer which names the same relay changes nothing, and that a
// newer relay takes precedence.
func TestNodeSwitchesFromStaleRelay(t *testing.T) {
	relay, reader, newer := Peer{Address: "10.0.0.2:1", Token: 3}, Peer{Address: "10.0.0.3:1"}, Peer{Address: "10.0.0.4:1", Token: 4}
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Log: logr.Discard()})
	r.namedRelay = relay
	assert.Equal(t, r.Upstream(), relay)
	r.switchUpstream(relay, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), relay)
	found := r.UpstreamFound()
	r.switchUpstream(reader, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), reader)
	<-found
	r.switchUpstream(Peer{Address: "10.0.0.6:1"}, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), reader)
	r.switchUpstream(newer, relay, "10.0.0.5:1")
	assert.Equal(t, r.Upstream(), newer)
}
