// Package retry bounds how many requests are sent a second time. All nodes share one budget of
// retries for each service, of which a node spends its part without asking the others: it only
// needs to know how many nodes there are.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits bound a service's budget over all nodes: in any Window, at most Ratio times the number of
// requests may be retried, and Slack requests more.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safety is the part of the bound that nodes use, as windows slide and the nodes' shares of the
// traffic differ.
const safety = 0.5

// Budget is this node's part of one service's budget. Its methods may be called concurrently.
type Budget struct {
	limits Limits
	now    func() time.Time
	// random returns a number in [0, 1).
	random func() float64

	mutex sync.Mutex
	nodes int
	// tokens is the number of retries that may be sent now, refilledAt when it was last computed.
	tokens     float64
	refilledAt time.Time
	// drawnAt is when the node last drew at random whether it has a retry, if its part is less than
	// one.
	drawnAt time.Time
}

// NewBudget returns this node's part of a budget that is shared by the given number of nodes.
func NewBudget(limits Limits, nodes int, now func() time.Time) *Budget {
	return newBudget(limits, nodes, now, rand.Float64)
}

func newBudget(limits Limits, nodes int, now func() time.Time, random func() float64) *Budget {
	b := &Budget{limits: limits, nodes: max(nodes, 1), now: now, random: random, refilledAt: now()}
	if b.randomized() {
		b.draw(b.refilledAt)
		return b
	}
	b.tokens = b.capacity()
	return b
}

// capacity returns this node's part of the slack, which may be spent at once. It is refilled over a
// window, so half of the slack is held in reserve.
func (b *Budget) capacity() float64 {
	return b.limits.Slack * safety / float64(b.nodes)
}

// drawSafety is the part of the bound that nodes that draw use: a window may contain the retries of
// two draws.
const drawSafety = 0.5

// randomized reports whether the nodes are so many that the part of each is less than one retry.
// Such parts must not be saved up, or all nodes could spend theirs at once; so each node draws at
// random once per window whether it has one, and a retry that it did not spend is lost at the next
// draw.
func (b *Budget) randomized() bool { return b.capacity() < 1 }

// draw decides at random whether the node has a retry until the next draw.
func (b *Budget) draw(now time.Time) {
	b.drawnAt = now
	b.tokens = 0
	if b.random() < b.capacity()*drawSafety {
		b.tokens = 1
	}
}

// maxTokens returns the most retries that a node may have at once.
func (b *Budget) maxTokens() float64 {
	if b.randomized() {
		return 1
	}
	return b.capacity()
}

// SetNodes sets how many nodes share the budget.
func (b *Budget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
	b.tokens = min(b.tokens, b.maxTokens())
}

// RecordRequest records a client's request, which earns its share of a retry.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	b.tokens = min(b.tokens+b.limits.Ratio*safety, b.maxTokens())
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

// refill adds the retries that the time since the last refill earned, or draws again. mutex is
// held.
func (b *Budget) refill() {
	now := b.now()
	if b.randomized() {
		if now.Sub(b.drawnAt) >= b.limits.Window {
			b.draw(now)
		}
		b.refilledAt = now
		return
	}
	if b.limits.Window > 0 {
		b.tokens += b.capacity() * float64(now.Sub(b.refilledAt)) / float64(b.limits.Window)
	}
	b.tokens = min(b.tokens, b.capacity())
	b.refilledAt = now
}
