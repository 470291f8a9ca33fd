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
	// busy is one whose request is whole. It may have reached a runner, so it never gives way.
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
	// yields is set once it has to give way.
	yields bool
}

// Open opens the account of a connection that itself takes base. interrupt is called when the account has to give
// way, and must not block. The error is fault.CodeOverloaded.
func (b *Budget) Open(base Bytes, interrupt func()) (*Account, error) {
	a := &Account{budget: b, interrupt: interrupt, base: base, index: -1}
	a.Begin()
	b.mutex.Lock()
	yielding, ok := b.makePlace()
	if ok && base > 0 {
		var more []*Account
		more, ok = b.admit(demand{account: a, size: base, more: base})
		yielding = append(yielding, more...)
	}
	if ok {
		b.resize(a, base, 0)
		b.open++
		a.setState(receiving)
	}
	b.mutex.Unlock()
	if err := b.finish(yielding, ok); err != nil {
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
	yielding, ok := b.admit(demand{account: a, size: expected, more: more})
	if ok {
		b.resize(a, a.held, expected)
	}
	b.mutex.Unlock()
	return b.finish(yielding, ok)
}

// Take takes more memory. The error, fault.CodeOverloaded, means that there is no room, or that the account
// has to give way.
func (a *Account) Take(more Bytes) error {
	if a == nil || more == 0 {
		return nil
	}
	b := a.budget
	b.mutex.Lock()
	yielding, ok := b.admit(demand{account: a, size: max(a.held+more, a.expected), more: more})
	if ok {
		b.resize(a, a.held+more, a.expected)
	}
	b.mutex.Unlock()
	return b.finish(yielding, ok)
}

// finish interrupts the accounts that give way, and returns the error of a demand that was not met.
func (b *Budget) finish(yielding []*Account, ok bool) error {
	for _, other := range yielding {
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

// Yields reports whether the account has to give way.
func (a *Account) Yields() bool {
	if a == nil {
		return false
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	return a.yields
}

// Begin records that a request begins to arrive.
func (a *Account) Begin() {
	if a != nil {
		a.progressed.Store(int64(a.budget.elapsed()))
	}
}

// Settle records that the request is whole: from now on the account does not give way. The error,
// fault.CodeOverloaded, means that it has to already, or is closed.
func (a *Account) Settle() error {
	if a == nil {
		return nil
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.yields || a.state == closed {
		return fault.New(fault.CodeOverloaded, "take memory", "the request gave way to others")
	}
	a.setState(busy)
	return nil
}

// Release gives back the memory of the request: the connection waits for the next one.
func (a *Account) Release() { a.reset(receiving) }

// Leave gives back the memory of the request: the connection is about to close.
func (a *Account) Leave() { a.reset(leaving) }

func (a *Account) reset(next state) {
	if a == nil {
		return
	}
	a.Begin()
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.state == closed {
		return
	}
	a.budget.resize(a, min(a.base, a.held), 0)
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
	if !a.yields {
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

// isLarge reports whether the account is a large one that does not give way. mutex must be held.
func (a *Account) isLarge() bool { return !a.yields && a.size() > mediumSize }

// mayYieldTo reports whether the account may give way to a demand of another one. Small ones need not wait until
// larger ones stall. mutex must be held.
func (a *Account) mayYieldTo(d demand, now time.Duration) bool {
	return a != d.account && a.held > 0 && (a.stalled(now) || d.small() && a.held > smallSize)
}

// yieldsBefore reports whether the account gives way before another one. mutex must be held.
func (a *Account) yieldsBefore(other *Account, now time.Duration) bool {
	if stalled := a.stalled(now); stalled != other.stalled(now) {
		return stalled
	}
	return a.held > other.held
}

// yield marks the account as one that gives way. mutex must be held.
func (a *Account) yield() {
	b := a.budget
	a.remove()
	if a.isLarge() {
		b.large--
	}
	a.yields = true
	b.open--
	b.used -= a.held
	b.yielding += a.held
	b.figures.Yielded++
}

// setState changes the state. mutex must be held.
func (a *Account) setState(next state) {
	a.state = next
	mayYield := (next == receiving || next == leaving) && !a.yields
	switch {
	case mayYield && a.index < 0:
		a.index = len(a.budget.receiving)
		a.budget.receiving = append(a.budget.receiving, a)
	case !mayYield:
		a.remove()
	}
}

// remove removes the account from those that may give way. mutex must be held.
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
