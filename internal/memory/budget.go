// Package memory bounds the memory that the connections and requests of others take in this process. Each
// connection has an account in a budget. When the budget is spent, accounts that do not receive anything
// are evicted: clients that stop sending must not keep out the rest.
package memory

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// smallSize is the size up to which an account may use the whole budget, mediumSize that up to which it
	// may use mediumShare of it. Larger ones may use largeShare. So small requests find room while large
	// ones do not.
	smallSize   Bytes = 64 << 10
	mediumSize  Bytes = 512 << 10
	mediumShare       = 0.75
	largeShare        = 0.5
	// overdraft is the part of the budget by which it may be exceeded while evicted accounts have not released
	// their memory yet.
	overdraft = 0.25
	// stallTimeout is how long an account may receive less than progressSize until it is evicted if there is
	// no room for another one.
	stallTimeout       = time.Second
	progressSize Bytes = 64 << 10
	// searchPause is how long no account to evict is looked for after none was found.
	searchPause = 20 * time.Millisecond
)

// Budget is the memory that accounts may use together. It is safe for concurrent use.
type Budget struct {
	limit Bytes
	// maxOpen is the largest number of open accounts that are not evicted; zero for any number.
	maxOpen int
	now     func() time.Time
	start   time.Time

	mutex sync.Mutex
	// used is what accounts hold that are not evicted, evicting what the evicted ones have not released.
	used, evicting Bytes
	// receiving are the accounts that may be evicted.
	receiving []*Account
	// open counts the open accounts that are not evicted.
	open int
	// large counts the large accounts that are not evicted.
	large int
	// failed and failedSmall are when no account to evict was found for a request, and for a small one.
	failed, failedSmall time.Time
	figures             Figures
	// refused counts the demands that were not met.
	refused atomic.Int64
}

// Figures describe the use of a budget since the start.
type Figures struct {
	Limit, Used, Peak Bytes
	// Open is the number of connections.
	Open int
	// Refused counts the demands that were not met, Evicted the accounts that were evicted.
	Refused, Evicted int64
}

// NewBudget returns a budget for at most maxOpen accounts, zero for any number, of which nothing is used.
func NewBudget(limit Bytes, maxOpen int) *Budget { return newBudget(limit, maxOpen, time.Now) }

func newBudget(limit Bytes, maxOpen int, now func() time.Time) *Budget {
	return &Budget{limit: limit, maxOpen: maxOpen, now: now, start: now(), figures: Figures{Limit: limit}}
}

// elapsed returns the steady time since the start.
func (b *Budget) elapsed() time.Duration { return b.now().Sub(b.start) }

// Figures returns the current figures.
func (b *Budget) Figures() Figures {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	figures := b.figures
	figures.Used, figures.Open, figures.Refused = b.used+b.evicting, b.open, b.refused.Load()
	return figures
}

// RetryAfter returns when a request of a size that got no room is to be sent again: small ones earlier,
// because they find room first. Times are spread so that requests do not return together.
func RetryAfter(size Bytes) time.Duration {
	if size <= smallSize {
		return stallTimeout/4 + rand.N(stallTimeout/2)
	}
	return stallTimeout + rand.N(2*stallTimeout)
}

// share returns what may be used with an account of a size beside a number of other large ones. The only large one may
// use everything, as the largest request must find room on any machine.
func (b *Budget) share(size Bytes, otherLarge int) Bytes {
	switch {
	case size <= smallSize || (size > mediumSize && otherLarge == 0):
		return b.limit
	case size <= mediumSize:
		return Bytes(float64(b.limit) * mediumShare)
	default:
		return Bytes(float64(b.limit) * largeShare)
	}
}

// demand is what an account asks for: to take more memory, with a size in the end.
type demand struct {
	account    *Account
	size, more Bytes
}

// small reports whether it is a small account that asks.
func (d demand) small() bool { return d.size <= smallSize }

// fits reports whether a demand is met if others free memory, of which some are large. mutex must be held.
func (b *Budget) fits(d demand, freed Bytes, freedLarge int) bool {
	otherLarge := b.large - freedLarge
	if d.account.isLarge() {
		otherLarge--
	}
	return b.used-freed+d.more <= b.share(d.size, otherLarge)
}

// admit reports whether a demand is met. It returns the accounts that are evicted for that; their interrupt is to be
// called without the mutex. mutex must be held.
func (b *Budget) admit(d demand) (evicted []*Account, ok bool) {
	if d.account.evicted || d.account.state == closed {
		return nil, false
	}
	if !b.fits(d, 0, 0) {
		if evicted, ok = b.evictFor(d); !ok {
			return nil, false
		}
	}
	return evicted, b.used+b.evicting+d.more <= Bytes(float64(b.limit)*(1+overdraft))
}

// evictFor evicts accounts until a demand is met: stalled ones first, and of these the largest.
// It returns false if they do not suffice. mutex must be held.
func (b *Budget) evictFor(d demand) (evicted []*Account, ok bool) {
	failed := &b.failed
	if d.small() {
		failed = &b.failedSmall
	}
	if b.now().Sub(*failed) < searchPause {
		return nil, false
	}
	now, freed, freedLarge := b.elapsed(), Bytes(0), 0
	for _, other := range b.receiving {
		if other.evictableFor(d, now) {
			freed += other.held
			if other.isLarge() {
				freedLarge++
			}
		}
	}
	if !b.fits(d, freed, freedLarge) {
		*failed = b.now()
		return nil, false
	}
	for !b.fits(d, 0, 0) {
		first := b.firstToEvict(d, now)
		first.evict()
		evicted = append(evicted, first)
	}
	return evicted, true
}

// firstToEvict returns the account to evict first for a demand. mutex must be held.
func (b *Budget) firstToEvict(d demand, now time.Duration) *Account {
	var first *Account
	for _, other := range b.receiving {
		if other.evictableFor(d, now) && (first == nil || other.evictedBefore(first, now)) {
			first = other
		}
	}
	return first
}

// makePlace evicts the account that has received nothing for the longest time if there are too many. It returns
// false if none is stalled. mutex must be held.
func (b *Budget) makePlace() (evicted []*Account, ok bool) {
	if b.maxOpen == 0 || b.open < b.maxOpen {
		return nil, true
	}
	now := b.elapsed()
	var oldest *Account
	for _, other := range b.receiving {
		if other.stalled(now) && (oldest == nil || other.progressed.Load() < oldest.progressed.Load()) {
			oldest = other
		}
	}
	if oldest == nil {
		return nil, false
	}
	oldest.evict()
	return []*Account{oldest}, true
}

// resize changes what an account holds and expects. mutex must be held.
func (b *Budget) resize(a *Account, held, expected Bytes) {
	before := a.isLarge()
	if a.evicted {
		b.evicting += held - a.held
	} else {
		b.used += held - a.held
	}
	a.held, a.expected = held, expected
	if after := a.isLarge(); after != before {
		if after {
			b.large++
		} else {
			b.large--
		}
	}
	b.figures.Peak = max(b.figures.Peak, b.used+b.evicting)
}
