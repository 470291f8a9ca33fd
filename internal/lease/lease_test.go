package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testValidity = 2 * time.Second
	testInterval = 500 * time.Millisecond
	testGap      = 3 * time.Second
)

// TestNeverTwoHolders runs random schedules of lost, late and refused writes, stale reads,
// store outages, returns with an older copy, pauses of any length, restarts and releases. It checks that acts of two
// nodes are always at least the turn gap apart, and that the tokens of acts never decrease and are of one node each.
// Some faults show up only in a few thousand schedules; one hundred miss them.
func TestNeverTwoHolders(t *testing.T) {
	const rounds = 20
	for range rounds {
		rapid.Check(t, neverTwoHolders)
	}
}

func neverTwoHolders(t *rapid.T) {
	w := newCluster(rapid.IntRange(2, 4).Draw(t, "nodes"))
	var newest uint64
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		index := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
		switch rapid.SampledFrom([]string{"step", "step", "step", "act", "act", "wait", "wait", "pause", "fault", "fault", "late", "restart", "release", "hand over", "say", "say", "hear", "hear", "restore"}).Draw(t, "what") {
		case "step":
			w.nodes[index].step(context.Background())
		case "act":
			w.act(t, index)
			if token, ok := w.nodes[index].Act(); ok {
				if token < newest {
					t.Fatalf("act with token %d after one with token %d", token, newest)
				}
				newest = token
			}
		case "wait":
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		case "pause":
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
		case "fault":
			w.table.next = rapid.SampledFrom([]string{"", "", "lost", "late", "refused"}).Draw(t, "next")
			w.table.behind = rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "behind")
			w.table.down = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "down")
		case "late":
			if len(w.table.late) > 0 {
				w.table.apply(w.table.late[0])
				w.table.late = w.table.late[1:]
			}
		case "restore":
			w.table.restore(rapid.IntRange(0, 8).Draw(t, "lost"))
		case "restart":
			w.nodes[index] = w.start(index)
		case "say":
			if status, ok := w.nodes[index].Status(); ok {
				w.statuses = append(w.statuses, status)
			}
		case "hear":
			if len(w.statuses) > 0 {
				w.nodes[index].ApplyStatus(w.statuses[rapid.IntRange(0, len(w.statuses)-1).Draw(t, "word")])
			}
		case "release":
			w.nodes[index].Release(context.Background())
			w.nodes[index] = w.start(index)
		case "hand over":
			w.nodes[index].HandOver(context.Background())
		}
	}
}

// TestNextHolderWaitsTheGap cuts the holder off from the table, lets it act as long as it
// may, and checks that the next holder waits the turn gap after that. Random schedules
// rarely come this close to the limit.
func TestNextHolderWaitsTheGap(t *testing.T) {
	const tick = 50 * time.Millisecond
	w := newCluster(2)
	holder, next := w.nodes[0], w.nodes[1]
	var cutAt, lastAct, firstAct time.Time
	for firstAct.IsZero() {
		w.now = w.now.Add(tick)
		if w.now.Before(time.Unix(1003, 0)) {
			holder.step(t.Context())
			cutAt = w.now
		}
		next.step(t.Context())
		if _, ok := holder.Act(); ok {
			lastAct = w.now
		}
		if _, ok := next.Act(); ok {
			firstAct = w.now
		}
		assert.Assert(t, w.now.Sub(cutAt) < time.Minute, "no node acts again")
	}
	assert.Assert(t, !lastAct.IsZero())
	assert.Assert(t, firstAct.Sub(lastAct) >= testGap, "%s", firstAct.Sub(lastAct))
}

// TestYieldedLeaseIsTakenSoon checks that once a holder without the store has announced
// that it no longer acts, a node that received the announcement acts the turn gap after the
// holder's last act. Without that, the next holder waits for the validity and the gap from
// the moment at which it read the row.
func TestYieldedLeaseIsTakenSoon(t *testing.T) {
	const tick = 50 * time.Millisecond
	w := newCluster(2)
	holder, next := w.nodes[0], w.nodes[1]
	var lastAct, firstAct time.Time
	began := w.now
	for firstAct.IsZero() {
		w.now = w.now.Add(tick)
		if w.now.Before(began.Add(3 * time.Second)) {
			holder.step(t.Context())
		}
		if status, ok := holder.Status(); ok {
			next.ApplyStatus(status)
		}
		if _, ok := holder.Act(); ok {
			lastAct = w.now
		}
		if lastAct.IsZero() || w.now.Sub(lastAct) > yieldGrace {
			next.step(t.Context())
		}
		if _, ok := next.Act(); ok {
			firstAct = w.now
		}
		assert.Assert(t, w.now.Sub(began) < time.Minute, "no node acts again")
	}
	gap := firstAct.Sub(lastAct)
	assert.Assert(t, gap >= testGap && gap <= testGap+yieldGrace, "%s", gap)
}

// TestRenewalUnderWayDuringYield checks that a renewal sent before the holder yielded and
// confirmed afterwards does not let it act under the token it gave up.
func TestRenewalUnderWayDuringYield(t *testing.T) {
	w := newCluster(1)
	holder := w.nodes[0]
	holder.step(t.Context())
	before, acts := holder.Act()
	assert.Assert(t, acts)
	w.now = w.now.Add(testValidity)
	w.table.during = func() {
		status, _ := holder.Status()
		assert.Assert(t, status.Yielded)
	}
	holder.step(t.Context())
	w.table.during = nil
	_, acts = holder.Act()
	assert.Assert(t, !acts)
	holder.step(t.Context())
	after, acts := holder.Act()
	assert.Assert(t, acts)
	assert.Equal(t, after, before+1)
}

// TestYieldedHolderContinues checks that a holder that yielded and was not replaced continues
// at once, under a new token, when the store answers again.
func TestYieldedHolderContinues(t *testing.T) {
	w := newCluster(1)
	holder := w.nodes[0]
	holder.step(t.Context())
	before, acts := holder.Act()
	assert.Assert(t, acts)
	w.now = w.now.Add(testValidity)
	status, _ := holder.Status()
	assert.Assert(t, status.Yielded)
	holder.step(t.Context())
	after, acts := holder.Act()
	assert.Assert(t, acts)
	assert.Equal(t, after, before+1)
}

// TestSomeNodeHolds checks that with a working store one node acts, and another one after
// that node is gone.
func TestSomeNodeHolds(t *testing.T) {
	w := newCluster(3)
	run := func(seconds int, without int) int {
		acting := -1
		for range seconds * 2 {
			w.now = w.now.Add(testInterval)
			for index, node := range w.nodes {
				if index != without {
					node.step(context.Background())
				}
			}
			for index, node := range w.nodes {
				if index != without && node.Acting() {
					acting = index
				}
			}
		}
		return acting
	}
	first := run(2, -1)
	assert.Assert(t, first >= 0)
	second := run(8, first)
	assert.Assert(t, second >= 0 && second != first)
}

// TestRestartedNodeNeedsNoGap checks that a new process of the same node needs no gap of
// its own; it only waits out a gap that its predecessor still had to wait out.
func TestRestartedNodeNeedsNoGap(t *testing.T) {
	w := newCluster(1)
	w.nodes[0].step(context.Background())
	assert.Assert(t, w.nodes[0].Acting())
	w.nodes[0] = w.start(0)
	w.nodes[0].step(context.Background())
	assert.Assert(t, w.nodes[0].Acting())
}

// TestRestartedHolderReleases covers a process that takes over its node's lease and
// releases it without acting. It does not know when its predecessor last acted, so the next
// holder has to wait the gap from the restart on.
func TestRestartedHolderReleases(t *testing.T) {
	w := newCluster(2)
	w.nodes[0].step(t.Context())
	_, acted := w.nodes[0].Act()
	assert.Assert(t, acted)
	w.nodes[0] = w.start(0)
	w.nodes[0].step(t.Context())
	w.nodes[0].Release(t.Context())
	w.nodes[1].step(t.Context())
	assert.Assert(t, !w.nodes[1].Acting(), "the next holder acts without waiting out the turn gap")
	w.now = w.now.Add(testGap - time.Millisecond)
	w.nodes[1].step(t.Context())
	assert.Assert(t, !w.nodes[1].Acting())
	w.now = w.now.Add(time.Millisecond)
	w.nodes[1].step(t.Context())
	assert.Assert(t, w.nodes[1].Acting())
}

// TestUnsettledHolderReleases covers a holder that releases the lease, or restarts, while
// it still waits out the gap after its predecessor. The next holder waits only the rest of
// that gap, not the validity and the whole gap again.
func TestUnsettledHolderReleases(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		w := newCluster(3)
		w.nodes[0].step(t.Context())
		_, acted := w.nodes[0].Act()
		assert.Assert(t, acted)
		w.nodes[0].Release(t.Context())
		w.nodes[1].step(t.Context())
		w.now = w.now.Add(time.Second)
		w.nodes[1].step(t.Context())
		assert.Assert(t, w.nodes[1].Holds() && !w.nodes[1].Acting())
		next := 2
		if restarted {
			next = 1
			w.nodes[next] = w.start(next)
		} else {
			w.nodes[1].Release(t.Context())
		}
		w.nodes[next].step(t.Context())
		w.now = w.now.Add(testGap - time.Second - time.Millisecond)
		w.nodes[next].step(t.Context())
		assert.Assert(t, !w.nodes[next].Acting())
		w.now = w.now.Add(2 * time.Millisecond)
		w.nodes[next].step(t.Context())
		assert.Assert(t, w.nodes[next].Acting(), "restarted %t", restarted)
	}
}

// TestTakeoverDelay checks that of two nodes that see the same lease expire, the one with
// more spare capacity takes it.
func TestTakeoverDelay(t *testing.T) {
	w := newCluster(3)
	holder, small, large := w.nodes[0], w.nodes[1], w.nodes[2]
	small.options.TakeoverDelay = func() time.Duration { return 400 * time.Millisecond }
	holder.step(t.Context())
	small.step(t.Context())
	large.step(t.Context())
	w.now = w.now.Add(testValidity + testInterval + 200*time.Millisecond)
	small.step(t.Context())
	assert.Assert(t, !small.Holds())
	large.step(t.Context())
	assert.Assert(t, large.Holds())
	w.now = w.now.Add(testValidity)
	small.step(t.Context())
	assert.Assert(t, !small.Holds())
}

// TestReleaseAfterLateRenewal covers an unanswered renewal that takes effect right before
// the release. The release must still succeed: if it is refused, the next holder has to
// wait until the lease expires.
func TestReleaseAfterLateRenewal(t *testing.T) {
	w := newCluster(2)
	holder, next := w.nodes[0], w.nodes[1]
	holder.step(t.Context())
	assert.Assert(t, holder.Holds())
	w.table.next = "late"
	holder.step(t.Context())
	w.table.next = ""
	w.table.apply(w.table.late[0])
	holder.Release(t.Context())
	next.step(t.Context())
	assert.Assert(t, next.Holds())
}

// TestUnfitHolderHandsOver covers a holder that gives the lease up because it is unfit to act: a
// fit node takes it and acts once the turn gap is over, and the unfit one leaves it to others but
// takes it if nobody else does.
func TestUnfitHolderHandsOver(t *testing.T) {
	const tick = 10 * time.Millisecond
	for _, alone := range []bool{false, true} {
		w := newCluster(2)
		holder, other := w.nodes[0], w.nodes[1]
		unfit := false
		holder.options.Fit = func(context.Context) bool { return !unfit }
		holder.step(t.Context())
		_, acted := holder.Act()
		assert.Assert(t, acted)
		lastAct := w.now
		unfit = true
		w.now = w.now.Add(time.Second)
		holder.HandOver(t.Context())
		assert.Assert(t, !holder.Holds() && !holder.Acting())
		holder.step(t.Context())
		assert.Assert(t, !holder.Holds(), "the unfit node takes it back at once")
		for !other.Acting() && !holder.Holds() {
			w.now = w.now.Add(tick)
			if !alone {
				other.step(t.Context())
			}
			holder.step(t.Context())
		}
		assert.Equal(t, holder.Holds(), alone)
		if !alone {
			assert.Assert(t, w.now.Sub(lastAct) >= testGap && w.now.Sub(lastAct) <= testGap+tick, "%s", w.now.Sub(lastAct))
		}
	}
}
