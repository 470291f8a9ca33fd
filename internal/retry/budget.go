// Package retry bounds how many requests are sent a second time. All nodes share
// one budget for each service; a node spends its part of it.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits are the bounds of a service's budget over all nodes: within Window, at
// most Ratio of the requests, and Slack more.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safety keeps a node's part clear of the bound, as windows slide and the nodes'
// shares of the traffic differ.
const safety = 0.5

// Budget is this node's part of one service's budget. Its methods may be called
// concurrently.
type Budget struct {
	limits Limits
	now    func() time.Time
	// chance draws a number from 0 to 1.
	chance func() float64

	mutex  sync.Mutex
	nodes  int
	tokens float64
	at     time.Time
	// drawn is when the node last drew whether it has a retry, where its part is
	// less than one.
	drawn time.Time
}

// NewBudget returns the budget of one of nodes nodes.
func NewBudget(limits Limits, nodes int, now func() time.Time) *Budget {
	return newBudget(limits, nodes, now, rand.Float64)
}

func newBudget(limits Limits, nodes int, now func() time.Time, chance func() float64) *Budget {
	b := &Budget{limits: limits, nodes: max(nodes, 1), now: now, chance: chance, at: now()}
	if b.draws() {
		b.draw(b.at)
		return b
	}
	b.tokens = b.capacity()
	return b
}

// capacity is the part of the slack that may be spent at once. The slack comes
// back over a window, so half of it is held in reserve.
func (b *Budget) capacity() float64 {
	return b.limits.Slack * safety / float64(b.nodes)
}

// lotSafety keeps the nodes that draw clear of the bound: a window may see the
// retries of two draws.
const lotSafety = 0.5

// draws reports whether the nodes are so many that the part of each is less than
// one retry. Such parts must not be saved up, or all nodes could spend theirs at
// once; so each node draws once a window whether it has one, and what it did not
// spend is lost at the next draw.
func (b *Budget) draws() bool { return b.capacity() < 1 }

func (b *Budget) draw(now time.Time) {
	b.drawn = now
	b.tokens = 0
	if b.chance() < b.capacity()*lotSafety {
		b.tokens = 1
	}
}

// limit is the most that a node may have at once.
func (b *Budget) limit() float64 {
	if b.draws() {
		return 1
	}
	return b.capacity()
}

// SetNodes tells how many nodes share the budget.
func (b *Budget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
	b.tokens = min(b.tokens, b.limit())
}

// Request notes a client's request, which earns its share of a retry.
func (b *Budget) Request() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	b.tokens = min(b.tokens+b.limits.Ratio*safety, b.limit())
}

// Take spends one retry if the budget allows it.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill() {
	now := b.now()
	if b.draws() {
		if now.Sub(b.drawn) >= b.limits.Window {
			b.draw(now)
		}
		b.at = now
		return
	}
	if b.limits.Window > 0 {
		b.tokens += b.capacity() * float64(now.Sub(b.at)) / float64(b.limits.Window)
	}
	b.tokens = min(b.tokens, b.capacity())
	b.at = now
}
