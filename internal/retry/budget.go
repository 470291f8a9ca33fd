// Package retry bounds how many requests are sent a second time. All nodes share
// one budget for each service; a node spends its part of it.
package retry

import (
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

	mutex  sync.Mutex
	nodes  int
	tokens float64
	at     time.Time
}

// NewBudget returns the budget of one of nodes nodes.
func NewBudget(limits Limits, nodes int, now func() time.Time) *Budget {
	b := &Budget{limits: limits, nodes: max(nodes, 1), now: now, at: now()}
	b.tokens = b.capacity()
	return b
}

// capacity is the part of the slack that may be spent at once. The slack comes
// back over a window, so half of it is held in reserve.
func (b *Budget) capacity() float64 {
	return b.limits.Slack * safety / float64(b.nodes)
}

// SetNodes tells how many nodes share the budget.
func (b *Budget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
	b.tokens = min(b.tokens, b.capacity())
}

// Request notes a client's request, which earns its share of a retry.
func (b *Budget) Request() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	b.tokens = min(b.tokens+b.limits.Ratio*safety, b.capacity())
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
	if b.limits.Window > 0 {
		b.tokens += b.capacity() * float64(now.Sub(b.at)) / float64(b.limits.Window)
	}
	b.tokens = min(b.tokens, b.capacity())
	b.at = now
}
