package request

import (
	"container/heap"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/wire"
)

// waiter is one request that waits for a replica.
type waiter struct {
	class    api.Class
	arrival  uint64
	deadline time.Time
	prefix   string
	avoid    string
	granted  chan grantedTarget
	position int
}

// grantedTarget is the answer to a waiter: a place on a replica, or an error.
type grantedTarget struct {
	target *target
	// replica is the target's replica as it was when the place was given.
	replica wire.Replica
	err     error
}

// queue orders waiters by class and then by arrival, and bounds each class.
type queue struct {
	waiters []*waiter
	counts  [api.ClassCount]int
}

// classLimits bound the waiting requests of one unit at one node. Patient work
// has the largest queue, since it is never to be lost to a full one.
var classLimits = [api.ClassCount]int{256, 256, 512, 4096}

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) Less(i, j int) bool {
	left, right := q.waiters[i], q.waiters[j]
	if left.class != right.class {
		return left.class < right.class
	}
	return left.arrival < right.arrival
}

func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].position = i
	q.waiters[j].position = j
}

// Push is used by package heap; call add.
func (q *queue) Push(value any) {
	w := value.(*waiter)
	w.position = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop is used by package heap; call first and remove.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters = q.waiters[:last]
	w.position = -1
	return w
}

// full tells whether a class has no place left.
func (q *queue) full(class api.Class) bool { return q.counts[class] >= classLimits[class] }

func (q *queue) add(w *waiter) {
	heap.Push(q, w)
	q.counts[w.class]++
}

func (q *queue) first() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// remove takes a waiter out and tells whether it was still in.
func (q *queue) remove(w *waiter) bool {
	if w.position < 0 {
		return false
	}
	heap.Remove(q, w.position)
	q.counts[w.class]--
	return true
}

// ahead counts the waiters that are served before a class.
func (q *queue) ahead(class api.Class) int {
	total := 0
	for c := range class + 1 {
		total += q.counts[c]
	}
	return total
}
