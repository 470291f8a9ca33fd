package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/wire"
)

func member(node string, state wire.MemberState, update uint64) wire.Member {
	return wire.Member{Node: node, Incarnation: "i-" + node, Address: node, State: state, Update: update, Started: 1}
}

// TestNewerStatementWins: a higher update, then the worse state; a later start of
// the node beats both.
func TestNewerStatementWins(t *testing.T) {
	l := newList(member("self", wire.MemberAlive, 0))
	now := time.Now()
	assert.Assert(t, l.merge(member("a", wire.MemberAlive, 1), now))
	assert.Assert(t, l.merge(member("a", wire.MemberSuspect, 1), now))
	assert.Assert(t, !l.merge(member("a", wire.MemberAlive, 1), now))
	assert.Assert(t, l.merge(member("a", wire.MemberAlive, 2), now), "a refutes")
	restarted := member("a", wire.MemberAlive, 0)
	restarted.Incarnation, restarted.Started = "later", 2
	assert.Assert(t, l.merge(restarted, now))
	assert.Assert(t, !l.merge(member("a", wire.MemberDead, 9), now), "about the earlier incarnation")
}

// TestSelfRefutes: a node that hears it is suspect says anew that it is alive.
func TestSelfRefutes(t *testing.T) {
	l := newList(member("self", wire.MemberAlive, 3))
	assert.Assert(t, l.merge(member("self", wire.MemberSuspect, 3), time.Now()))
	self, _ := l.get("self")
	assert.Equal(t, self.State, wire.MemberAlive)
	assert.Equal(t, self.Update, uint64(4))
}

// TestLivingFollowsEveryChange: the cached list of living members is never older
// than the last change.
func TestLivingFollowsEveryChange(t *testing.T) {
	l := newList(member("self", wire.MemberAlive, 0))
	now := time.Now()
	for index := range 5 {
		l.merge(member(fmt.Sprint("n", index), wire.MemberAlive, 0), now)
		assert.Equal(t, len(l.living()), index+2)
	}
	l.downgrade("n1", wire.MemberAlive, wire.MemberSuspect, now)
	assert.Equal(t, len(l.living()), 6)
	died := l.expire(now.Add(time.Minute), time.Second, time.Hour, time.Hour)
	assert.DeepEqual(t, died, []string{"n1"})
	assert.Equal(t, len(l.living()), 5)
}

// TestUpdatesAreBounded: a datagram carries few updates whatever the size of the
// list, and an update is passed on a bounded number of times.
func TestUpdatesAreBounded(t *testing.T) {
	l := newList(member("self", wire.MemberAlive, 0))
	const members = 500
	for index := range members {
		l.merge(member(fmt.Sprint("n", index), wire.MemberAlive, 0), time.Now())
	}
	sent := 0
	for range 100 * members {
		updates := l.updates(maximumUpdates)
		assert.Assert(t, len(updates) <= maximumUpdates)
		if len(updates) == 0 {
			break
		}
		sent += len(updates)
	}
	assert.Equal(t, len(l.updates(maximumUpdates)), 0)
	assert.Assert(t, sent <= (members+1)*disseminationLimit(members+1))
}
