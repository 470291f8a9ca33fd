package lease

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

const (
	testValidity = 2 * time.Second
	testInterval = 500 * time.Millisecond
	testGap      = 3 * time.Second
)

// fakeTable is a table that loses answers, delays writes and serves stale reads, as the
// test requires.
type fakeTable struct {
	rows     []table.Row
	revision table.Revision
	late     []table.Transaction
	// epoch is that of the table; markers are the rows that are not the lease, with the number of the
	// write by which they came.
	epoch   table.Epoch
	markers map[string]table.Revision
	// next is the outcome of the next write: "" (written), "lost" (written, but the answer is
	// lost), "late" (written later) or "refused".
	next string
	// behind is how many writes a read lags behind; down makes all calls fail.
	behind int
	down   bool
	// during is called in the middle of a write.
	during func()
}

func (f *fakeTable) row() table.Row {
	if len(f.rows) == 0 {
		return table.Row{}
	}
	return f.rows[len(f.rows)-1]
}

func (f *fakeTable) Get(_ context.Context, key string) (table.Row, error) {
	if f.down {
		return table.Row{}, fault.At(fault.CodeStoreUnavailable, "read", "table", fault.NotDone, errors.New("down"))
	}
	if table.IsMarker(key) {
		return table.Row{Value: []byte("0"), Revision: table.NewRevision(f.epoch, f.markers[key].Number())}, nil
	}
	if index := len(f.rows) - 1 - f.behind; index >= 0 {
		row := f.rows[index]
		row.Revision = table.NewRevision(f.epoch, row.Revision.Number())
		return row, nil
	}
	return table.Row{Revision: table.NewRevision(f.epoch, 0)}, nil
}

// restore returns with a copy that lacks the newest writes, but not the first one.
func (f *fakeTable) restore(lost int) {
	f.rows = f.rows[:max(len(f.rows)-lost, min(len(f.rows), 1))]
	f.revision = f.row().Revision
	f.epoch++
	maps.DeleteFunc(f.markers, func(_ string, written table.Revision) bool { return written > f.revision })
}

// observedTable is the table as seen by one node.
type observedTable struct {
	*fakeTable
	epochs *table.Epochs
}

func (o observedTable) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := o.fakeTable.Get(ctx, key)
	o.observe(err)
	return row, err
}

func (o observedTable) Commit(ctx context.Context, t table.Transaction) (table.Revision, error) {
	revision, err := o.fakeTable.Commit(ctx, t)
	o.observe(err)
	return revision, err
}

// observe records the epoch unless the call had no answer.
func (o observedTable) observe(err error) {
	if fault.OutcomeOf(err) != fault.Unknown && !o.down {
		o.epochs.Observe(o.epoch)
	}
}

func (f *fakeTable) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (f *fakeTable) Commit(_ context.Context, t table.Transaction) (table.Revision, error) {
	if f.during != nil {
		f.during()
	}
	unknown := fault.At(fault.CodeStoreUnavailable, "write", "table", fault.Unknown, errors.New("no answer"))
	if f.down {
		return 0, fault.At(fault.CodeStoreUnavailable, "write", "table", fault.NotDone, errors.New("down"))
	}
	switch f.next {
	case "refused":
		return 0, fault.At(fault.CodeRateLimited, "write", "table", fault.NotDone, errors.New("limit"))
	case "late":
		f.late = append(f.late, t)
		return 0, unknown
	case "lost":
		f.apply(t)
		return 0, unknown
	}
	if !f.apply(t) {
		return 0, &fault.Error{Code: fault.CodeConflict, Ran: fault.NotDone}
	}
	return table.NewRevision(f.epoch, f.revision.Number()), nil
}

func (f *fakeTable) apply(t table.Transaction) bool {
	for _, condition := range t.Conditions {
		current := f.row().Revision
		if table.IsMarker(condition.Key) {
			current = f.markers[condition.Key]
		}
		if current.Number() != condition.Revision.Number() {
			return false
		}
	}
	f.revision++
	for _, write := range t.Writes {
		if table.IsMarker(write.Key) {
			f.markers[write.Key] = f.revision
			continue
		}
		f.rows = append(f.rows, table.Row{Key: write.Key, Value: write.Value, Revision: f.revision})
	}
	return true
}

// cluster is a set of nodes that contend for one lease under a fake clock.
type cluster struct {
	table   *fakeTable
	now     time.Time
	nodes   []*Elector
	started int
	// lastBy and lastAt are the node and the time of the last act.
	lastBy string
	lastAt time.Time
	// actors are the nodes that acted, by token.
	actors map[uint64]string
	// statuses holds the statuses sent by holders, for delivery to other nodes.
	statuses []HolderStatus
}

func newCluster(nodes int) *cluster {
	w := &cluster{actors: make(map[uint64]string), table: &fakeTable{epoch: 1, markers: make(map[string]table.Revision)}, now: time.Unix(1000, 0)}
	for index := range nodes {
		w.nodes = append(w.nodes, w.start(index))
	}
	return w
}

// start starts a new process of a node.
func (w *cluster) start(index int) *Elector {
	w.started++
	name := fmt.Sprintf("node-%d", index)
	options := Options{
		Validity: testValidity, Interval: testInterval, TurnGap: testGap, ActMargin: 400 * time.Millisecond, CallTimeout: time.Second,
		Now: func() time.Time { return w.now },
	}
	epochs := &table.Epochs{}
	return New(table.NewFenced(observedTable{fakeTable: w.table, epochs: epochs}, epochs), "lease", name, name+":1", fmt.Sprint(w.started), options, logr.Discard())
}

// act lets a node act if it may, and checks the gap since another node's last act.
func (w *cluster) act(t *rapid.T, index int) {
	node := w.nodes[index]
	token, ok := node.Act()
	if !ok {
		return
	}
	if actor := w.actors[token]; actor != "" && actor != node.self.Holder {
		t.Fatalf("%s acts with token %d, under which %s acted", node.self.Holder, token, actor)
	}
	w.actors[token] = node.self.Holder
	if w.lastBy != "" && w.lastBy != node.self.Holder && w.now.Sub(w.lastAt) < testGap {
		t.Fatalf("%s acts %s after %s", node.self.Holder, w.now.Sub(w.lastAt), w.lastBy)
	}
	w.lastBy, w.lastAt = node.self.Holder, w.now
}

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
