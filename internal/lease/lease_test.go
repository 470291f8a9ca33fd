package lease

import (
	"context"
	"errors"
	"fmt"
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

// fakeTable is a table whose answers are lost, whose writes come late and whose
// reads are old, as a test says.
type fakeTable struct {
	rows     []table.Row
	revision uint64
	late     []table.Transaction
	// next is what becomes of the next write: "", "lost", "late" or "refused".
	next string
	// behind is how many writes a read is behind; down refuses all.
	behind int
	down   bool
	// during is called while a write is under way.
	during func()
}

func (f *fakeTable) row() table.Row {
	if len(f.rows) == 0 {
		return table.Row{}
	}
	return f.rows[len(f.rows)-1]
}

func (f *fakeTable) Get(context.Context, string) (table.Row, error) {
	if f.down {
		return table.Row{}, fault.At(fault.CodeStoreUnavailable, "read", "table", fault.NotDone, errors.New("down"))
	}
	if index := len(f.rows) - 1 - f.behind; index >= 0 {
		return f.rows[index], nil
	}
	return table.Row{}, nil
}

func (f *fakeTable) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (f *fakeTable) Commit(_ context.Context, t table.Transaction) (uint64, error) {
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
	return f.revision, nil
}

func (f *fakeTable) apply(t table.Transaction) bool {
	if f.row().Revision != t.Conditions[0].Revision {
		return false
	}
	f.revision++
	f.rows = append(f.rows, table.Row{Key: t.Writes[0].Key, Value: t.Writes[0].Value, Revision: f.revision})
	return true
}

// world is a set of nodes that contend for one lease under a fake clock.
type world struct {
	table   *fakeTable
	now     time.Time
	nodes   []*Lessor
	started int
	// acts are the last acts, by node.
	lastBy string
	lastAt time.Time
	// words are those of holders that were not heard yet.
	words []Word
}

func newWorld(nodes int) *world {
	w := &world{table: &fakeTable{}, now: time.Unix(1000, 0)}
	for index := range nodes {
		w.nodes = append(w.nodes, w.start(index))
	}
	return w
}

// start begins a new process of a node.
func (w *world) start(index int) *Lessor {
	w.started++
	name := fmt.Sprintf("node-%d", index)
	options := Options{
		Validity: testValidity, Interval: testInterval, TurnGap: testGap, ActMargin: 400 * time.Millisecond, CallTimeout: time.Second,
		Now: func() time.Time { return w.now },
	}
	return New(w.table, "lease", name, name+":1", fmt.Sprint(w.started), options, logr.Discard())
}

// act lets a node act if it may, and checks the gap to another node's last act.
func (w *world) act(t *rapid.T, index int) {
	node := w.nodes[index]
	if _, ok := node.Act(); !ok {
		return
	}
	if w.lastBy != "" && w.lastBy != node.self.Holder && w.now.Sub(w.lastAt) < testGap {
		t.Fatalf("%s acts %s after %s", node.self.Holder, w.now.Sub(w.lastAt), w.lastBy)
	}
	w.lastBy, w.lastAt = node.self.Holder, w.now
}

// TestNeverTwoHolders drives nodes through lost, late and refused writes, old
// reads, a store that is down, pauses of any length, restarts and releases, by a
// random schedule: acts of two nodes always lie the turn gap apart, and tokens of
// acts never fall. A hundred schedules miss what a few thousand find.
func TestNeverTwoHolders(t *testing.T) {
	const rounds = 20
	for range rounds {
		rapid.Check(t, neverTwoHolders)
	}
}

func neverTwoHolders(t *rapid.T) {
	w := newWorld(rapid.IntRange(2, 4).Draw(t, "nodes"))
	var newest uint64
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		index := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
		switch rapid.SampledFrom([]string{"step", "step", "step", "act", "act", "wait", "wait", "pause", "fault", "fault", "late", "restart", "release", "say", "say", "hear", "hear"}).Draw(t, "what") {
		case "step":
			w.nodes[index].step(context.Background())
		case "act":
			w.act(t, index)
			if token, ok := w.nodes[index].Act(); ok {
				if token < newest {
					t.Fatalf("token %d after %d", token, newest)
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
		case "restart":
			w.nodes[index] = w.start(index)
		case "say":
			if word, ok := w.nodes[index].Word(); ok {
				w.words = append(w.words, word)
			}
		case "hear":
			if len(w.words) > 0 {
				w.nodes[index].Hear(w.words[rapid.IntRange(0, len(w.words)-1).Draw(t, "word")])
			}
		case "release":
			w.nodes[index].Release(context.Background())
			w.nodes[index] = w.start(index)
		}
	}
}

// TestNextHolderWaitsTheGap: the holder is cut off from the table and acts as long
// as it may; the next one acts no sooner than the turn gap after that. The random
// schedules rarely come this close.
func TestNextHolderWaitsTheGap(t *testing.T) {
	const tick = 50 * time.Millisecond
	w := newWorld(2)
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
		assert.Assert(t, w.now.Sub(cutAt) < time.Minute, "nobody acts again")
	}
	assert.Assert(t, !lastAct.IsZero())
	assert.Assert(t, firstAct.Sub(lastAct) >= testGap, "%s", firstAct.Sub(lastAct))
}

// TestYieldedLeaseIsTakenSoon: a holder without the store acts as long as it may
// and says when it acts no more; another one that hears it acts the turn gap after
// its last act. It failed first: the next holder waited for validity and gap from
// the moment at which it looked at the row.
func TestYieldedLeaseIsTakenSoon(t *testing.T) {
	const tick = 50 * time.Millisecond
	w := newWorld(2)
	holder, next := w.nodes[0], w.nodes[1]
	var lastAct, firstAct time.Time
	began := w.now
	for firstAct.IsZero() {
		w.now = w.now.Add(tick)
		if w.now.Before(began.Add(3 * time.Second)) {
			holder.step(t.Context())
		}
		if word, ok := holder.Word(); ok {
			next.Hear(word)
		}
		if _, ok := holder.Act(); ok {
			lastAct = w.now
		}
		if lastAct.IsZero() || w.now.Sub(lastAct) > yieldPatience {
			next.step(t.Context())
		}
		if _, ok := next.Act(); ok {
			firstAct = w.now
		}
		assert.Assert(t, w.now.Sub(began) < time.Minute, "nobody acts again")
	}
	gap := firstAct.Sub(lastAct)
	assert.Assert(t, gap >= testGap && gap <= testGap+yieldPatience, "%s", gap)
}

// TestRenewalUnderWayDuringYield: a renewal that was sent before the holder yielded
// and is confirmed after it does not let it act under the token that it gave up.
func TestRenewalUnderWayDuringYield(t *testing.T) {
	w := newWorld(1)
	holder := w.nodes[0]
	holder.step(t.Context())
	before, acts := holder.Act()
	assert.Assert(t, acts)
	w.now = w.now.Add(testValidity)
	w.table.during = func() {
		word, _ := holder.Word()
		assert.Assert(t, word.Yielded)
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

// TestYieldedHolderGoesOn: a holder that yielded and that nobody replaced goes on at
// once under a new token, when the store answers again.
func TestYieldedHolderGoesOn(t *testing.T) {
	w := newWorld(1)
	holder := w.nodes[0]
	holder.step(t.Context())
	before, acts := holder.Act()
	assert.Assert(t, acts)
	w.now = w.now.Add(testValidity)
	word, _ := holder.Word()
	assert.Assert(t, word.Yielded)
	holder.step(t.Context())
	after, acts := holder.Act()
	assert.Assert(t, acts)
	assert.Equal(t, after, before+1)
}

// TestSomebodyHolds: on a sound store one node acts, and after its end another.
func TestSomebodyHolds(t *testing.T) {
	w := newWorld(3)
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

// TestRestartedNodeGoesOnAtOnce: a process of the same node needs no gap, but for
// one that its predecessor had still to wait out.
func TestRestartedNodeGoesOnAtOnce(t *testing.T) {
	w := newWorld(1)
	w.nodes[0].step(context.Background())
	assert.Assert(t, w.nodes[0].Acting())
	w.nodes[0] = w.start(0)
	w.nodes[0].step(context.Background())
	assert.Assert(t, w.nodes[0].Acting())
}

// TestRestartedHolderReleases: a process that takes its node's lease over and gives
// it back without an act knows nothing of its predecessor's last act, so the next
// holder waits the gap from the restart on.
func TestRestartedHolderReleases(t *testing.T) {
	w := newWorld(2)
	w.nodes[0].step(t.Context())
	_, acted := w.nodes[0].Act()
	assert.Assert(t, acted)
	w.nodes[0] = w.start(0)
	w.nodes[0].step(t.Context())
	w.nodes[0].Release(t.Context())
	w.nodes[1].step(t.Context())
	assert.Assert(t, !w.nodes[1].Acting(), "acts at once after the predecessor")
	w.now = w.now.Add(testGap - time.Millisecond)
	w.nodes[1].step(t.Context())
	assert.Assert(t, !w.nodes[1].Acting())
	w.now = w.now.Add(time.Millisecond)
	w.nodes[1].step(t.Context())
	assert.Assert(t, w.nodes[1].Acting())
}

// TestUnsettledHolderReleases: a holder that still waits out the gap of the one
// before gives the lease back, and is restarted in the middle of its wait; the next
// one waits no longer than that gap. It failed first: it waited validity and gap anew.
func TestUnsettledHolderReleases(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		w := newWorld(3)
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

// TestReluctantNodeWaitsLonger: of two nodes that see the same lease run out, the
// one with more to spare takes it.
func TestReluctantNodeWaitsLonger(t *testing.T) {
	w := newWorld(3)
	holder, small, large := w.nodes[0], w.nodes[1], w.nodes[2]
	small.options.Reluctance = func() time.Duration { return 400 * time.Millisecond }
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

// TestReleaseAfterLateRenewal: a renewal without an answer is carried out right
// before the lease is given back; it is given back all the same. It failed first:
// the release was refused, and the next holder waited until the lease ran out.
func TestReleaseAfterLateRenewal(t *testing.T) {
	w := newWorld(2)
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
