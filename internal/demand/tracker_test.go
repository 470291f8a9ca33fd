package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// isSignalled reports whether a signal is pending, and consumes it.
func isSignalled(urgent <-chan struct{}) bool {
	select {
	case <-urgent:
		return true
	default:
		return false
	}
}

// TestUrgentSignalsWaitingService checks that a request that begins to wait signals the
// reader of its own service. With a single channel for all services, another service's
// reader could consume the signal.
func TestUrgentSignalsWaitingService(t *testing.T) {
	tracker := NewTracker()
	drafts, chats := tracker.Urgent("drafts"), tracker.Urgent("chats")
	end := tracker.AddWaiting(Key{Service: "chats", Unit: backend.Unit{Model: "m"}}, time.Now(), 0)
	assert.Assert(t, isSignalled(chats))
	assert.Assert(t, !isSignalled(drafts))
	// A second request for the same unit does not signal again.
	endSecond := tracker.AddWaiting(Key{Service: "chats", Unit: backend.Unit{Model: "m"}}, time.Now(), 0)
	assert.Assert(t, !isSignalled(chats))
	assert.Assert(t, tracker.Waits("chats"))
	end()
	endSecond()
	assert.Assert(t, !tracker.Waits("chats"))
}

// TestWaitingSummary checks that a summary has the earliest deadline and the most urgent
// priority.
func TestWaitingSummary(t *testing.T) {
	tracker := NewTracker()
	key := Key{Service: "s", Unit: backend.Unit{Model: "m", Adapter: "a"}}
	now := time.Now()
	defer tracker.AddWaiting(key, now.Add(time.Second), 0)()
	defer tracker.AddWaiting(key, now, 2)()
	waiting := tracker.Waiting()
	assert.Equal(t, len(waiting), 1)
	assert.Equal(t, waiting[0].Count, 2)
	assert.Equal(t, waiting[0].Priority, 0)
	assert.Assert(t, waiting[0].Deadline.Equal(now))
}
