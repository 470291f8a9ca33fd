package origin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/lease"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// storeStub is a table of one row whose followers see each change at once.
type storeStub struct {
	mutex     sync.Mutex
	started   time.Time
	epoch     table.Epoch
	row       table.Row
	down      bool
	calls     int
	writes    int
	followers []*Handler
	streams   *streamsStub
}

func newStoreStub() *storeStub {
	return &storeStub{started: time.Now(), epoch: table.FirstEpoch, streams: &streamsStub{rows: make(map[string][]byte)}}
}

// follow makes a handler read the table and follow it.
func (s *storeStub) follow(h *Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followers = append(s.followers, h)
	h.ApplySnapshot(s.rows(), 0)
}

func (s *storeStub) rows() []feed.Row {
	if !s.row.Revision.Exists() {
		return nil
	}
	return []feed.Row{{Key: s.row.Key, Value: s.row.Value, Revision: s.row.Revision}}
}

// Get implements table.Table.
func (s *storeStub) Get(_ context.Context, key string) (table.Row, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return table.Row{}, fault.New(fault.CodeStoreUnavailable, "get", "down")
	}
	row := s.row
	row.Key, row.ReadAt = key, time.Since(s.started)
	if !row.Revision.Exists() {
		row.Revision = table.NewRevision(s.epoch, 0)
	}
	return row, nil
}

// List implements table.Table.
func (s *storeStub) List(context.Context, string, string, int) ([]table.Row, error) {
	return nil, fault.New(fault.CodeInternal, "list", "not implemented")
}

// Commit implements table.Table for a transaction of one row with its condition.
func (s *storeStub) Commit(_ context.Context, transaction table.Transaction) (table.Revision, error) {
	s.mutex.Lock()
	s.calls++
	if s.down {
		s.mutex.Unlock()
		return 0, fault.New(fault.CodeStoreUnavailable, "commit", "down")
	}
	if transaction.Conditions[0].Revision.Number() != s.row.Revision.Number() {
		s.mutex.Unlock()
		return 0, fault.New(fault.CodeConflict, "commit", "changed")
	}
	s.writes++
	write := transaction.Writes[0]
	s.row = table.Row{Key: write.Key, Value: write.Value, Revision: table.NewRevision(s.epoch, s.row.Revision.Number()+1)}
	rows, followers := s.rows(), s.followers
	s.mutex.Unlock()
	for _, h := range followers {
		h.ApplyChanges(rows)
	}
	return rows[0].Revision, nil
}

// restore returns the store with an older row, and makes followers apply it.
func (s *storeStub) restore(row table.Row) {
	s.mutex.Lock()
	s.epoch++
	s.row = row
	if row.Revision.Exists() {
		s.row.Revision = table.NewRevision(s.epoch, row.Revision.Number())
	}
	rows, followers, epoch := s.rows(), s.followers, s.epoch
	s.mutex.Unlock()
	for _, h := range followers {
		if len(rows) == 0 {
			h.ApplyRestored([]feed.Row{{Key: servedKey, Revision: table.NewRevision(epoch, 1), Deleted: true}})
			continue
		}
		h.ApplyRestored(rows)
	}
}

// current returns the row and how many calls and writes there were.
func (s *storeStub) current() (row table.Row, calls, writes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.row, s.calls, s.writes
}

func (s *storeStub) countCalls() int {
	_, calls, _ := s.current()
	return calls
}

func (s *storeStub) countWrites() int {
	_, _, writes := s.current()
	return writes
}

func (s *storeStub) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// restartAll ends all nodes and returns a group that starts with the same store.
func (g *group) restartAll(t *testing.T, term lease.Term, listed ...backend.Runner) *group {
	g.endAll()
	synctest.Wait()
	g.store.mutex.Lock()
	g.store.followers = nil
	g.store.mutex.Unlock()
	return newGroupAt(t, g.store, term, len(g.order), listed...)
}

// TestOnlyBuildWasNotKnownAfterAllNodesStarted: where one build served for recordLifetime, streams go on at nodes that
// have all started, though nobody knows them.
func TestOnlyBuildWasNotKnownAfterAllNodesStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, runnersOf("b1")...).restartAll(t, lease.Term{Held: true}, runnersOf("b1")...)
		for _, asked := range []Stream{stream, {}} {
			assert.Equal(t, g.nodes[g.order[1]].Find(t.Context(), "s", asked), Origin{Build: "b1", Known: true})
		}
	})
}

// TestStreamWentOnUnboundWhereNobodyServes: no runner is listed as the stream is taken up, and one of another build
// comes before that of the only one that served.
func TestStreamWentOnUnboundWhereNobodyServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, runnersOf("b1")...).restartAll(t, lease.Term{Held: true})
		assert.Equal(t, g.nodes[g.order[1]].Find(t.Context(), "s", stream), Origin{Build: "b1", Known: true})
	})
}

// TestUnreadTableWasGuessed: a node that could not read the table took the listed build for the only one.
func TestUnreadTableWasGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, runnersOf("b1")...)
		r := New(g.options("started", lease.Term{}))
		r.SetListed(runnersOf("b1"))
		time.Sleep(time.Minute)
		assert.Equal(t, r.Find(t.Context(), "s", stream), Origin{Unsure: true})
	})
}

// TestBuildsBeforeTheFirstRowAreUnknown: a row that a node writes which cannot tell what served before is complete
// after recordLifetime.
func TestBuildsBeforeTheFirstRowAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroupAt(t, newStoreStub(), lease.Term{Held: true}, 3, runnersOf("b1")...)
		r := g.nodes[g.order[1]]
		assert.Equal(t, r.Find(t.Context(), "s", stream), Origin{Unsure: true})
		time.Sleep(recordLifetime / 2)
		g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1")...)
		r = g.nodes[g.order[1]]
		assert.Equal(t, r.Find(t.Context(), "s", stream), Origin{Unsure: true})
		time.Sleep(recordLifetime/2 + time.Second)
		assert.Equal(t, r.Find(t.Context(), "s", stream), Origin{Build: "b1", Known: true})
		assert.Equal(t, g.store.countWrites(), 2)
	})
}

// TestBuildsThatARestoredStoreLostAreKept: the copy lacks a build. Nodes that ran write it again; where all nodes
// started meanwhile, what served is unknown for recordLifetime.
func TestBuildsThatARestoredStoreLostAreKept(t *testing.T) {
	for _, without := range []string{"build", "row"} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("copy without %s, all start=%v", without, restarts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newGroup(t, 3, runnersOf("b1")...)
					var restored table.Row
					if without == "build" {
						restored, _, _ = g.store.current()
					}
					for _, r := range g.nodes {
						r.Change(runnersOf("b1", "b2"), nil)
						r.Change(nil, []string{"r0"})
					}
					time.Sleep(time.Second)
					want := Origin{Several: true}
					if restarts {
						g.endAll()
						synctest.Wait()
						g.store.restore(restored)
						g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")[1:]...)
						if without == "row" {
							want = Origin{Unsure: true}
						}
					} else {
						g.store.restore(restored)
						time.Sleep(2 * time.Second)
						g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1", "b2")[1:]...)
					}
					r := g.nodes[g.order[1]]
					assert.Equal(t, r.Find(t.Context(), "s", stream), want)
					time.Sleep(recordLifetime + time.Second)
					assert.Equal(t, r.Find(t.Context(), "s", stream), Origin{Build: "b2", Known: true})
				})
			})
		}
	}
}

// TestFewCallsRecordBuilds: builds that serve for long cost no call, a change costs one read and one write, and a store
// that is away few calls.
func TestFewCallsRecordBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 50, runnersOf("b1")...)
		assert.Equal(t, g.store.countCalls(), 2)
		time.Sleep(recordLifetime - time.Second)
		assert.Equal(t, g.store.countCalls(), 2)
		for _, r := range g.nodes {
			r.Change(runnersOf("b1", "b2"), nil)
		}
		time.Sleep(time.Second)
		assert.Equal(t, g.store.countCalls(), 4)
		g.store.setDown(true)
		for _, r := range g.nodes {
			r.Change(nil, []string{"r0"})
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, g.store.countCalls() <= 4+20, "%d", g.store.countCalls())
		g.store.setDown(false)
		time.Sleep(2*recordPause + recordInterval)
		assert.Equal(t, g.store.countWrites(), 3)
	})
}

// TestBuildWasNotRecordedWithoutAHolder: a build that appears while nobody holds the lease is recorded.
func TestBuildWasNotRecordedWithoutAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 50, runnersOf("b1")...).restartAll(t, lease.Term{}, runnersOf("b1", "b2")...)
		time.Sleep(standInDelay + standInSpread)
		assert.Equal(t, g.store.countWrites(), 2)
		g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b2")...)
		assert.Equal(t, g.nodes[g.order[1]].Find(t.Context(), "s", stream), Origin{Several: true})
	})
}

// TestBuildThatLeftUnrecordedWasForgotten: a build came and left before anybody recorded it, as it was gone at once, as
// nobody held the lease, or as the store was away. Its streams were joined once all nodes had started.
func TestBuildThatLeftUnrecordedWasForgotten(t *testing.T) {
	for name, held := range map[string]bool{"at once": true, "store away": true, "no holder": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 5, runnersOf("b1")...).restartAll(t, lease.Term{Held: held}, runnersOf("b1")...)
				g.store.setDown(name == "store away")
				for _, r := range g.nodes {
					r.Change(runnersOf("b1", "b2"), nil)
				}
				time.Sleep(recordInterval / 2)
				for _, r := range g.nodes {
					r.Change(nil, []string{"r1"})
				}
				left := time.Now()
				time.Sleep(5 * time.Second)
				g.store.setDown(false)
				time.Sleep(standInDelay + standInSpread)
				g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b1")...)
				r := g.nodes[g.order[1]]
				assert.Equal(t, r.Find(t.Context(), "s", Stream{}), Origin{Several: true})
				time.Sleep(recordLifetime - time.Since(left) + standInDelay + 2*standInSpread)
				assert.Equal(t, r.Find(t.Context(), "s", Stream{}), Origin{Build: "b1", Known: true})
				assert.Equal(t, g.store.countWrites(), 3)
			})
		})
	}
}

// TestManyBuildsAreBounded: a row has maxServed builds at most, and is not complete then; with fewer it is complete
// again after recordLifetime.
func TestManyBuildsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runners []backend.Runner
		for number := range 2 * maxServed {
			runners = append(runners, backend.Runner{ID: fmt.Sprint("r", number), Service: fmt.Sprint("s", number), Build: "b1"})
		}
		g := newGroup(t, 2, runners...)
		row, _, _ := g.store.current()
		var served wire.ServedBuilds
		assert.NilError(t, wire.Decode(row.Value, "store", &served))
		assert.Equal(t, len(served.Builds), maxServed)
		r := g.nodes[g.order[1]]
		assert.Equal(t, r.Find(t.Context(), "s1", stream), Origin{Unsure: true})
		time.Sleep(time.Minute)
		assert.Assert(t, g.store.countWrites() <= 3, "%d", g.store.countWrites())
		for _, r := range g.nodes {
			r.SetListed(runners[:1])
		}
		time.Sleep(recordLifetime - time.Second)
		assert.Equal(t, r.Find(t.Context(), "s0", stream), Origin{Unsure: true})
		time.Sleep(2 * incompleteStep)
		assert.Equal(t, r.Find(t.Context(), "s0", stream), Origin{Build: "b1", Known: true})
	})
}

// TestUnreadableRowIsWrittenAgain: a row that cannot be read is replaced by what nodes know.
func TestUnreadableRowIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, runnersOf("b1", "b2")...)
		row, _, _ := g.store.current()
		_, err := g.store.Commit(t.Context(), table.Transaction{
			Conditions: []table.Condition{{Key: servedKey, Revision: row.Revision}}, Writes: []table.Write{{Key: servedKey, Value: []byte("odd")}},
		})
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		g = g.restartAll(t, lease.Term{Held: true}, runnersOf("b2")...)
		assert.Equal(t, g.nodes[g.order[1]].Find(t.Context(), "s", stream), Origin{Several: true})
	})
}
