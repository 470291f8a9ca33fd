package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
	"lilacvane/internal/table"
)

const (
	// rareModels are held by one runner each, busyModels by all others.
	rareModels = 250
	busyModels = 50
	largeZones = 6
)

// largeList returns a list of size runners, each of which holds two models.
func largeList(size int) []backend.Runner {
	runners := make([]backend.Runner, size)
	for i := range runners {
		model := fmt.Sprint("busy-", i%busyModels)
		if i < rareModels {
			model = fmt.Sprint("rare-", i)
		}
		runners[i] = listed(fmt.Sprintf("i-%010x", i), model, fmt.Sprint("busy-", (i+7)%busyModels))
		runners[i].Zone = fmt.Sprint("zone-", i%largeZones)
		runners[i].Address = fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250)
		runners[i].Revision = table.Revision(i + 1)
	}
	return runners
}

// boundedFleet returns the fleet of a node in zone-0.
func boundedFleet(node string) *Fleet {
	f := New("zone-0", time.Now, noRules{})
	f.SetBound(node, DefaultBound)
	return f
}

// state returns the number of entries of all kinds that a fleet keeps.
func (f *Fleet) state() int {
	return len(f.runners) + len(f.incarnations) + len(f.departed) + len(f.departures) + len(f.retention.tracked)
}

// TestStateDoesNotGrowWithUnusedRunners checks that a node does not keep more state for twice
// as many runners, also after all runners changed what they hold.
func TestStateDoesNotGrowWithUnusedRunners(t *testing.T) {
	kept := make(map[int]int)
	for _, size := range []int{10_000, 20_000} {
		f := boundedFleet("node")
		list := largeList(size)
		f.Replace(list, false)
		for round := range 5 {
			for i := range list {
				list[i].Models[1].Model = fmt.Sprint("busy-", (i+round*11)%busyModels)
			}
			f.Apply(list, nil, false)
		}
		kept[size] = f.state()
	}
	assert.Assert(t, float64(kept[20_000]) <= 1.2*float64(kept[10_000]), "entries kept: %v", kept)
	assert.Assert(t, kept[20_000] < 10_000, "entries kept: %v", kept)
}

// TestEachUnitStaysKnown checks that a node tracks some runners for each unit, from its own
// zone and from others where there are any, and that nodes of a zone track the same ones
// there.
func TestEachUnitStaysKnown(t *testing.T) {
	f, other := boundedFleet("node"), boundedFleet("other")
	f.Replace(largeList(10_000), false)
	other.Replace(largeList(10_000), false)
	for i := range rareModels {
		assert.Assert(t, f.Holds("s", fmt.Sprint("rare-", i), place.Homes{}), "rare-%d", i)
	}
	for i := range busyModels {
		near, shared, far := 0, 0, 0
		for id, known := range f.runners {
			if !known.units[backend.Unit{Model: fmt.Sprint("busy-", i)}] {
				continue
			}
			if known.listed.Zone != "zone-0" {
				far++
				continue
			}
			near++
			if other.runners[id] != nil {
				shared++
			}
		}
		assert.Assert(t, near >= DefaultBound.Unit && far >= DefaultBound.Unit, "busy-%d: %d near, %d far", i, near, far)
		assert.Assert(t, shared >= DefaultBound.Unit, "busy-%d: %d of %d near ones are shared", i, shared, near)
	}
}

// TestSmallFleetIsTrackedCompletely checks that a node skips no runner while there are few, not
// even a draining one.
func TestSmallFleetIsTrackedCompletely(t *testing.T) {
	f := boundedFleet("node")
	list := largeList(DefaultBound.Runners)
	list[7].Draining = true
	f.Replace(list, false)
	assert.Equal(t, f.Count(), DefaultBound.Runners)
	assert.Assert(t, f.Complete())
}

// TestLeaseHolderTracksAll checks that a node that controls a service tracks all runners once
// the list was read again. When it stops controlling, it drops those that it does not need,
// except runners in use.
func TestLeaseHolderTracksAll(t *testing.T) {
	const size = 5000
	f := boundedFleet("node")
	f.Replace(largeList(size), false)
	assert.Assert(t, !f.Complete())
	f.SetTrackAll(true)
	assert.Assert(t, !f.Complete())
	f.Replace(largeList(size), false)
	assert.Assert(t, f.Complete())
	assert.Equal(t, f.Count(), size)
	query := Query{Service: "s", Unit: backend.Unit{Model: "busy-3"}}
	choice, ok := f.Choose(query)
	assert.Assert(t, ok)
	f.SetTrackAll(false)
	assert.Assert(t, f.Count() < size/2 && !f.Complete(), "%d runners are kept", f.Count())
	assert.Assert(t, f.Known(choice.Runner.ID))
	f.Done(choice, query, Served, time.Millisecond, false)
}

// TestLostRunnersAreReplaced checks that a node asks for the list again after it lost most of
// the runners it tracked of a service while it had skipped others. The loss of a zone is not
// enough.
func TestLostRunnersAreReplaced(t *testing.T) {
	f := boundedFleet("node")
	list := largeList(10_000)
	// All runners of a small service are tracked.
	for i := range 3 {
		list[i].Service = "few"
		list[i].Draining = i == 2
	}
	f.Replace(list, false)
	assert.Assert(t, !f.NeedsFullList())
	remove := func(lost func(known *runner) bool) {
		var gone []string
		for id, known := range f.runners {
			if lost(known) {
				gone = append(gone, id)
			}
		}
		f.Apply(nil, gone, false)
	}
	remove(func(known *runner) bool { return known.listed.Zone == "zone-0" })
	assert.Assert(t, !f.NeedsFullList())
	left := 0
	remove(func(*runner) bool { left++; return left >= DefaultBound.Service })
	assert.Assert(t, f.NeedsFullList())
	f.Replace(list, false)
	assert.Assert(t, !f.NeedsFullList())
}

// BenchmarkStateBytes reports the memory that a node uses for the runners.
func BenchmarkStateBytes(b *testing.B) {
	for _, size := range []int{2500, 10_000, 20_000} {
		for _, bound := range []Bound{{}, DefaultBound} {
			name := "all"
			if bound != (Bound{}) {
				name = "bounded"
			}
			b.Run(fmt.Sprintf("%s-%d", name, size), func(b *testing.B) {
				var used float64
				for b.Loop() {
					before := heapInUse()
					f := New("zone-0", time.Now, noRules{})
					f.SetBound("node", bound)
					f.Replace(largeList(size), false)
					used = heapInUse() - before
					runtime.KeepAlive(f)
				}
				b.ReportMetric(used, "B/node")
				b.ReportMetric(used/float64(size), "B/runner")
			})
		}
	}
}

// heapInUse returns the number of reachable bytes on the heap.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// TestHolderTellsOfPassedOverRunner checks that a skipped runner is used as soon as the
// lease holder sends its list entry, unless the node's own list is newer than the holder's:
// the runner may have left since.
func TestHolderTellsOfPassedOverRunner(t *testing.T) {
	list := largeList(10_000)
	for _, c := range []struct {
		holder, own table.Revision
		known       bool
	}{{holder: 9, own: 9, known: true}, {holder: 9, own: 8, known: true}, {holder: 9, own: 10}} {
		f := boundedFleet("node")
		f.SetListRevision(c.own)
		f.Replace(list, false)
		var skipped backend.Runner
		for _, runner := range list {
			if !f.Known(runner.ID) {
				skipped = runner
			}
		}
		skipped.Models = []backend.Holding{{Model: "new"}}
		f.ApplyViews([]View{{Runner: skipped.ID, Listed: &skipped, Ready: skipped.Models}}, c.holder)
		choice, ok := f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "new"}})
		assert.Equal(t, ok, c.known, "list of the holder at %d, of the node at %d", c.holder, c.own)
		if ok {
			assert.Equal(t, choice.Runner.Address, skipped.Address)
		}
	}
}
