package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

func signalled(urgent <-chan struct{}) bool {
	select {
	case <-urgent:
		return true
	default:
		return false
	}
}

// TestUrgentTellsTheServiceThatWaits: a request that begins to wait is told to the
// reader of its own service. It failed first: one channel served all services, and
// another one's reader could take the signal.
func TestUrgentTellsTheServiceThatWaits(t *testing.T) {
	book := NewBook()
	drafts, chats := book.Urgent("drafts"), book.Urgent("chats")
	end := book.Wait(Key{Service: "chats", Unit: backend.Unit{Model: "m"}}, time.Now(), 0)
	assert.Assert(t, signalled(chats))
	assert.Assert(t, !signalled(drafts))
	// The second one that waits for the same is no news.
	endSecond := book.Wait(Key{Service: "chats", Unit: backend.Unit{Model: "m"}}, time.Now(), 0)
	assert.Assert(t, !signalled(chats))
	assert.Assert(t, book.Waits("chats"))
	end()
	endSecond()
	assert.Assert(t, !book.Waits("chats"))
}

// TestWaitingSumsUp: the earliest deadline and the most urgent priority count.
func TestWaitingSumsUp(t *testing.T) {
	book := NewBook()
	key := Key{Service: "s", Unit: backend.Unit{Model: "m", Adapter: "a"}}
	now := time.Now()
	defer book.Wait(key, now.Add(time.Second), 0)()
	defer book.Wait(key, now, 2)()
	waiting := book.Waiting()
	assert.Equal(t, len(waiting), 1)
	assert.Equal(t, waiting[0].Count, 2)
	assert.Equal(t, waiting[0].Priority, 0)
	assert.Assert(t, waiting[0].Deadline.Equal(now))
}
