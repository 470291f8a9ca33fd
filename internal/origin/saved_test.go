package origin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/lease"
	"lilacvane/internal/table"
)

// streamsStub is a table of rows that are written without conditions.
type streamsStub struct {
	table.Table
	mutex sync.Mutex
	rows  map[string][]byte
	calls int
	// written are the bytes of all rows that were written.
	written int
	down    bool
}

// List implements table.Table, a few rows a page.
func (s *streamsStub) List(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return nil, fault.New(fault.CodeStoreUnavailable, "list", "down")
	}
	const page = 3
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < min(limit, page) {
			rows = append(rows, table.Row{Key: key, Value: s.rows[key]})
		}
	}
	return rows, nil
}

// Commit implements table.Table.
func (s *streamsStub) Commit(_ context.Context, transaction table.Transaction) (table.Revision, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return 0, fault.New(fault.CodeStoreUnavailable, "commit", "down")
	}
	for _, write := range transaction.Writes {
		s.rows[write.Key] = write.Value
		s.written += len(write.Value)
	}
	return 1, nil
}

func (s *streamsStub) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// size returns the rows, the bytes of the longest one, and the calls.
func (s *streamsStub) size() (rows, longest, calls int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, value := range s.rows {
		longest = max(longest, len(value))
	}
	return len(s.rows), longest, s.calls
}

// bytesWritten returns the bytes of all rows that were written.
func (s *streamsStub) bytesWritten() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written
}

// begin begins streams at all nodes and returns the build of each.
func (g *group) begin(name string, count int) map[Stream]backend.Build {
	begun := make(map[Stream]backend.Build, count)
	for number := range count {
		s, build := NewStream(name, fmt.Sprint(number)), backend.Build(fmt.Sprint("b", 1+number%2))
		begun[s] = build
		g.nodes[g.order[number%len(g.order)]].Began("s", s, build)
	}
	return begun
}

// checkKnown checks that any node finds the builds of streams.
func (g *group) checkKnown(t *testing.T, begun map[Stream]backend.Build) {
	t.Helper()
	number := 0
	for s, build := range begun {
		number++
		asking := g.nodes[g.order[number%len(g.order)]]
		assert.Equal(t, asking.Find(t.Context(), "s", s), Origin{Build: build, Known: true, Several: true})
	}
}

// TestStreamsWereForgottenAsAllNodesDied: while several builds serve, the builds of streams are known after all nodes
// have started, also for the second time, and with the store away meanwhile.
func TestStreamsWereForgottenAsAllNodesDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		begun := g.begin("first", 100)
		time.Sleep(2 * saveInterval)
		for life := range 3 {
			g.store.streams.setDown(life == 1)
			g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")...)
			time.Sleep(time.Second)
			g.store.streams.setDown(false)
			time.Sleep(overlap + loadPause)
			g.checkKnown(t, begun)
			maps.Copy(begun, g.begin(fmt.Sprint("life ", life), 100))
			time.Sleep(2 * saveInterval)
		}
		assert.Equal(t, g.nodes[g.order[0]].Find(t.Context(), "s", NewStream("other", "0")), Origin{Several: true})
	})
}

// TestLatestStreamsWereForgottenAsAllNodesDied: streams begin all the time, and all nodes die. What began 150 ms before
// that is known, whenever the last writes were.
func TestLatestStreamsWereForgottenAsAllNodesDied(t *testing.T) {
	const latest = 150 * time.Millisecond
	for offset := time.Duration(0); offset < 500*time.Millisecond; offset += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 12, runnersOf("b1", "b2")...)
			begun := make(map[Stream]backend.Build)
			died := time.Now().Add(time.Second + offset)
			for step := 0; time.Until(died) > 0; step++ {
				streams := g.begin(fmt.Sprint(step), 10)
				if time.Until(died) >= latest {
					maps.Copy(begun, streams)
				}
				time.Sleep(10 * time.Millisecond)
			}
			g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")...)
			time.Sleep(overlap)
			g.checkKnown(t, begun)
		})
	}
}

// TestStreamsWereRefusedWhileKeepersRead: all nodes started, and no keeper had read the streams yet. Questions wait for
// that, and many that wait cost few calls.
func TestStreamsWereRefusedWhileKeepersRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		begun := g.begin("first", 1000)
		time.Sleep(2 * saveInterval)
		g.store.streams.setDown(true)
		g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")...)
		g.store.streams.setDown(false)
		asking := g.nodes[g.order[11]]
		var questions sync.WaitGroup
		for s, build := range begun {
			questions.Go(func() {
				assert.Check(t, asking.Find(t.Context(), "s", s) == Origin{Build: build, Known: true, Several: true})
			})
		}
		questions.Wait()
		const callsEach = 8 + 8*7 // eight keepers, each of which asks the others
		most := 2*callsEach*len(begun) + readAskedNodes*int(readTimeout/readInterval+1)
		assert.Check(t, g.calls.Load() <= int64(most), "%d calls, %d at most", g.calls.Load(), most)
	})
}

// TestNodeThatKnowsNoOtherRefusedStreams: a node that starts beside others which serve is told of them late, and
// waits for that as well.
func TestNodeThatKnowsNoOtherRefusedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		begun := g.begin("first", 24)
		time.Sleep(2 * saveInterval)
		options := g.options("started", lease.Term{})
		options.Peers = func() []string { return nil }
		started := New(options)
		started.SetListed(runnersOf("b1", "b2"))
		g.store.follow((*Handler)(started))
		time.AfterFunc(keepersTimeout+keepersTimeout/2, func() { started.SetKeepers(g.order[:8]) })
		for s, build := range begun {
			assert.Equal(t, started.Find(t.Context(), "s", s), Origin{Build: build, Known: true, Several: true})
		}
	})
}

// TestQuestionsEndThoughNoKeeperReads: while the store is away, questions about unknown streams end in time, and before
// their deadline; those of clients that do not name their stream end at once.
func TestQuestionsEndThoughNoKeeperReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		g.store.streams.setDown(true)
		g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")...)
		asking, deadline := g.nodes[g.order[11]], readTimeout/2
		short, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		for _, question := range []struct {
			ctx    context.Context
			stream Stream
			most   time.Duration
		}{{short, stream, deadline}, {t.Context(), stream, readTimeout}, {t.Context(), Stream{}, 0}} {
			begin := time.Now()
			assert.Equal(t, asking.Find(question.ctx, "s", question.stream), Origin{Several: true})
			assert.Assert(t, time.Since(begin) <= question.most, "%v", time.Since(begin))
		}
	})
}

// TestNodeAloneRefusesUnknownStreamsAtOnce: without keepers nothing was written, and nothing is awaited.
func TestNodeAloneRefusesUnknownStreamsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{store: newStoreStub(), order: []string{"alone", "alone"}, nodes: make(map[string]*Registry)}
		r := g.newNode("alone", lease.Term{}, runnersOf("b1", "b2")...)
		g.nodes["alone"] = r
		time.Sleep(returnTime)
		begin := time.Now()
		assert.Equal(t, r.Find(t.Context(), "s", stream), Origin{Several: true})
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

// TestStreamsAreKeptAsKeepersChange: streams outlive all nodes though the keepers had other places before.
func TestStreamsAreKeptAsKeepersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		begun := g.begin("first", 100)
		time.Sleep(2 * saveInterval)
		moved := slices.Concat(g.order[3:8], g.order[:3])
		for _, r := range g.nodes {
			r.SetKeepers(moved)
		}
		maps.Copy(begun, g.begin("second", 100))
		time.Sleep(2 * saveInterval)
		g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")...)
		time.Sleep(overlap)
		g.checkKnown(t, begun)
	})
}

// TestCostOfStreamsAtManyNodes: what streams that begin at 100 nodes while two builds serve cost the store in calls and
// bytes: no more than the keepers' rows, however many streams begin.
func TestCostOfStreamsAtManyNodes(t *testing.T) {
	const nodes, keepers, seconds = 100, 9, 10
	for _, perSecond := range []int{10, 100, 1000, 4000} {
		t.Run(fmt.Sprint(perSecond, " streams a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, nodes, runnersOf("b1", "b2")...)
				for _, r := range g.nodes {
					r.SetKeepers(g.order[:keepers])
				}
				time.Sleep(time.Second)
				_, _, before := g.store.streams.size()
				told := g.calls.Load()
				for step := range 10 * seconds {
					g.begin(fmt.Sprint(step), perSecond/10)
					time.Sleep(time.Second / 10)
				}
				rows, longest, calls := g.store.streams.size()
				calls -= before
				written := g.store.streams.bytesWritten()
				t.Logf("store: %.1f calls and %d bytes a second, %d rows of %d bytes at most; nodes: %.1f messages a second",
					float64(calls)/seconds, written/seconds, rows, longest, float64(g.calls.Load()-told)/seconds)
				most := keepers * int(seconds*time.Second/saveInterval+1)
				assert.Check(t, calls <= most, "%d calls, %d at most", calls, most)
				assert.Check(t, written <= most*savedRows*maxRowBytes)
				assert.Check(t, rows <= keepers*savedRows && longest <= maxRowBytes)
			})
		})
	}
}

// TestSavedStreamsAreBounded: a flood of streams makes neither calls, rows nor their size grow, and one build makes
// no call.
func TestSavedStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1")...)
		g.begin("one build", 100)
		time.Sleep(10 * time.Second)
		_, _, calls := g.store.streams.size()
		assert.Equal(t, calls, 0)
		for _, r := range g.nodes {
			r.Change(runnersOf("b1", "b2"), nil)
		}
		const seconds = 6
		for second := range seconds {
			g.begin(fmt.Sprint(second), 4000)
			time.Sleep(time.Second)
		}
		rows, longest, calls := g.store.streams.size()
		t.Logf("%d rows of %d bytes at most, %d calls", rows, longest, calls)
		assert.Assert(t, rows <= 8*savedRows && longest <= maxRowBytes && calls <= 8*(seconds*int(time.Second/saveInterval)+3))
	})
}
