package test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
)

// nodeFaults injects faults that overlap, at most one at a time at each node and at the store, and
// records when nodes had one.
type nodeFaults struct {
	world *world.World

	mutex sync.Mutex
	busy  map[*world.Node]bool
	// disturbances are the times of faults by node; the end is zero while one goes on.
	disturbances map[*world.Node][]interval
	// storeDown is set while the store has a fault, storeBackAt is when the last one ended.
	storeDown   bool
	storeBackAt time.Time
}

func newNodeFaults(w *world.World) *nodeFaults {
	return &nodeFaults{world: w, busy: make(map[*world.Node]bool), disturbances: make(map[*world.Node][]interval)}
}

// checkNoError fails the test for an error, also from a goroutine beside it.
func checkNoError(t *testing.T, err error) {
	t.Helper()
	assert.Check(t, err == nil, "%v", err)
}

// inject runs a fault of a node unless it has another one.
func (f *nodeFaults) inject(node *world.Node, fault func()) {
	f.mutex.Lock()
	if f.busy[node] {
		f.mutex.Unlock()
		return
	}
	f.busy[node] = true
	f.disturbances[node] = append(f.disturbances[node], interval{from: time.Now()})
	f.mutex.Unlock()
	fault()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.busy[node] = false
	f.disturbances[node][len(f.disturbances[node])-1].to = time.Now()
}

// kill kills a node and starts it again.
func (f *nodeFaults) kill(t *testing.T, node *world.Node) {
	f.inject(node, func() {
		node.Kill()
		checkNoError(t, f.world.RestartNode(node))
	})
}

// stop stops a node and starts it again.
func (f *nodeFaults) stop(t *testing.T, node *world.Node) {
	f.inject(node, func() {
		checkNoError(t, node.Terminate())
		checkNoError(t, node.Wait(stopGrace+answerMargin))
		checkNoError(t, f.world.RestartNode(node))
	})
}

// freeze suspends a node for a while.
func (f *nodeFaults) freeze(t *testing.T, node *world.Node, pause time.Duration) {
	f.inject(node, func() {
		checkNoError(t, node.Freeze())
		time.Sleep(pause)
		checkNoError(t, node.Thaw())
	})
}

// failStore makes the store fail for a while.
func (f *nodeFaults) failStore(t *testing.T, faults storestub.Faults, pause time.Duration) {
	f.mutex.Lock()
	down := f.storeDown
	f.storeDown = true
	f.mutex.Unlock()
	if down {
		return
	}
	checkNoError(t, f.world.SetStoreFaults(faults))
	time.Sleep(pause)
	checkNoError(t, f.world.SetStoreFaults(storestub.Faults{}))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.storeDown, f.storeBackAt = false, time.Now()
}

// undisturbed reports whether a node had no fault between two times.
func (f *nodeFaults) undisturbed(node *world.Node, from, to time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !slices.ContainsFunc(f.disturbances[node], func(d interval) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// countEndedAfter counts the faults of all nodes that ended after an instant.
func (f *nodeFaults) countEndedAfter(instant time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, faults := range f.disturbances {
		for _, d := range faults {
			if d.to.After(instant) {
				count++
			}
		}
	}
	return count
}
