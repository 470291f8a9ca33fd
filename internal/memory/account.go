package memory

import (
	"sync/atomic"
	"time"

	"lilacvane/internal/fault"
)

// state is what the connection of an account does.
type state uint8

const (
	// receiving is a connection that waits for a request or reads one.
	receiving state = iota
	// busy is one whose request is whole. It may have reached a runner, so it is never evicted.
	busy
	// leaving is one that is about to close.
	leaving
	closed
)

// Account is the memory of a connection and its request. Received, which is called by the reader of the
// connection, may be called while other methods are. The nil Account bounds nothing.
type Account struct {
	budget *Budget
	// interrupt ends the connection's current and future reads.
	interrupt func()
	// base is what the connection itself takes.
	base Bytes
	// received is what arrived since progressed, the time since the budget's start, in nanoseconds, at which
	// progressSize had arrived last.
	received   Bytes
	progressed atomic.Int64

	// The fields below are guarded by budget.mutex.

	state state
	// index is the account's place in budget.receiving, or -1.
	index int
	// held is what it takes, expected what it may take in the end.
	held, expected Bytes
	// evicted is set once its memory is needed for others: its request must be refused, or its connection closed.
	evicted bool
}

// Open opens the account of a connection that itself takes base. interrupt is called when the account is evicted,
// and must not block. The error is fault.CodeOverloaded.
func (b *Budget) Open(base Bytes, interrupt func()) (*Account, error) {
	a := &Account{budget: b, interrupt: interrupt, base: base, index: -1}
	a.Begin()
	b.mutex.Lock()
	evicted, ok := b.makePlace()
	if ok && base > 0 {
		var more []*Account
		more, ok = b.admit(demand{account: a, size: base, more: base})
		evicted = append(evicted, more...)
	}
	if ok {
		b.resize(a, base, 0)
		b.open++
		a.setState(receiving)
	}
	b.mutex.Unlock()
	if err := b.finish(evicted, ok); err != nil {
		return nil, err
	}
	return a, nil
}

// Expect reports with an error, fault.CodeOverloaded, that there is no room now for a request that takes
// more memory in the end. It takes nothing: what is announced may never come.
func (a *Account) Expect(more Bytes) error {
	if a == nil || more == 0 {
		return nil
	}
	b := a.budget
	b.mutex.Lock()
	expected := a.held + more
	evicted, ok := b.admit(demand{account: a, size: expected, more: more})
	if ok {
		b.resize(a, a.held, expected)
	}
	b.mutex.Unlock()
	return b.finish(evicted, ok)
}

// Take takes more memory. The error, fault.CodeOverloaded, means that there is no room, or that the account
// is evicted.
func (a *Account) Take(more Bytes) error {
	if a == nil || more == 0 {
		return nil
	}
	b := a.budget
	b.mutex.Lock()
	evicted, ok := b.admit(demand{account: a, size: max(a.held+more, a.expected), more: more})
	if ok {
		b.resize(a, a.held+more, a.expected)
	}
	b.mutex.Unlock()
	return b.finish(evicted, ok)
}

// finish interrupts the accounts that are evicted, and returns the error of a demand that was not met.
func (b *Budget) finish(evicted []*Account, ok bool) error {
	for _, other := range evicted {
		other.interrupt()
	}
	if ok {
		return nil
	}
	b.refused.Add(1)
	return fault.New(fault.CodeOverloaded, "take memory", "this node has no memory left for the request")
}

// Give gives back memory.
func (a *Account) Give(less Bytes) {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.budget.resize(a, max(a.held-less, 0), a.expected)
}

// Received records that bytes have arrived.
func (a *Account) Received(count Bytes) {
	if a == nil {
		return
	}
	a.received += count
	if a.received >= progressSize {
		a.received = 0
		a.progressed.Store(int64(a.budget.elapsed()))
	}
}

// Evicted reports whether the memory of the account is needed for others.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	return a.evicted
}

// Begin records that a request begins to arrive.
func (a *Account) Begin() {
	if a != nil {
		a.progressed.Store(int64(a.budget.elapsed()))
	}
}

// Settle records that the request is whole: from now on the account is not evicted. The error,
// fault.CodeOverloaded, means that it is evicted already, or closed.
func (a *Account) Settle() error {
	if a == nil {
		return nil
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.evicted || a.state == closed {
		return fault.New(fault.CodeOverloaded, "take memory", "the memory of the request was needed for others")
	}
	a.setState(busy)
	return nil
}

// Release gives back the memory of the request: the connection waits for the next one.
func (a *Account) Release() {
	if a != nil {
		a.reset(receiving, a.base)
	}
}

// Leave records that the connection is about to close, and keeps an amount until then.
func (a *Account) Leave(keep Bytes) {
	if a != nil {
		a.reset(leaving, keep)
	}
}

func (a *Account) reset(next state, keep Bytes) {
	a.Begin()
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.state == closed {
		return
	}
	a.budget.resize(a, min(keep, a.held), 0)
	a.setState(next)
}

// Close closes the account. Further calls do nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.state == closed {
		return
	}
	a.budget.resize(a, 0, 0)
	if !a.evicted {
		a.budget.open--
	}
	a.setState(closed)
}

// size is what the account takes in the end, as far as that is known. mutex must be held.
func (a *Account) size() Bytes { return max(a.held, a.expected) }

// stalled reports whether the account received little lately, or needs its memory no more. mutex must be held.
func (a *Account) stalled(now time.Duration) bool {
	return a.state == leaving || now-time.Duration(a.progressed.Load()) >= stallTimeout
}

// isLarge reports whether the account is a large one that is not evicted. mutex must be held.
func (a *Account) isLarge() bool { return !a.evicted && a.size() > mediumSize }

// evictableFor reports whether the account may be evicted for a demand of another one. Small ones need not wait until
// larger ones stall. mutex must be held.
func (a *Account) evictableFor(d demand, now time.Duration) bool {
	return a != d.account && a.held > 0 && (a.stalled(now) || d.small() && a.held > smallSize)
}

// evictedBefore reports whether the account is evicted before another one. mutex must be held.
func (a *Account) evictedBefore(other *Account, now time.Duration) bool {
	if stalled := a.stalled(now); stalled != other.stalled(now) {
		return stalled
	}
	return a.held > other.held
}

// evict marks the account as evicted. mutex must be held.
func (a *Account) evict() {
	b := a.budget
	a.remove()
	if a.isLarge() {
		b.large--
	}
	a.evicted = true
	b.open--
	b.used -= a.held
	b.evicting += a.held
	b.figures.Evicted++
}

// setState changes the state. mutex must be held.
func (a *Account) setState(next state) {
	a.state = next
	evictable := (next == receiving || next == leaving) && !a.evicted
	switch {
	case evictable && a.index < 0:
		a.index = len(a.budget.receiving)
		a.budget.receiving = append(a.budget.receiving, a)
	case !evictable:
		a.remove()
	}
}

// remove removes the account from those that may be evicted. mutex must be held.
func (a *Account) remove() {
	if a.index < 0 {
		return
	}
	list := a.budget.receiving
	last := list[len(list)-1]
	list[a.index], last.index = last, a.index
	list[len(list)-1] = nil
	a.budget.receiving, a.index = list[:len(list)-1], -1
}
