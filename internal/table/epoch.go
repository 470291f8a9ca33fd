package table

import (
	"sync"
	"time"
)

// Epoch numbers the histories of a store. It increases when the store returns with an older copy of
// its content: what it acknowledged after that copy is lost, and it assigns the revisions of that
// time again. Zero means that the epoch is not known.
type Epoch uint32

// SettlingPeriod is the time after a store returned with an older copy in which it may lack what operators,
// runners and nodes have yet to write again: 2 s, and some time to hear of it.
const SettlingPeriod = 3 * time.Second

// Epochs tracks the newest epoch in which the store answered this process. It is safe for concurrent
// use.
type Epochs struct {
	mu     sync.Mutex
	newest Epoch
	// changedAt is when a newer epoch followed a known one; zero if none did.
	changedAt time.Time
	// observers are called, outside of mu, for each newer epoch.
	observers []func(previous, current Epoch)
}

// Observe records the epoch of an answer.
func (e *Epochs) Observe(epoch Epoch) {
	e.mu.Lock()
	previous := e.newest
	if epoch <= previous {
		e.mu.Unlock()
		return
	}
	e.newest = epoch
	if previous != 0 {
		e.changedAt = time.Now()
	}
	observers := e.observers
	e.mu.Unlock()
	for _, observe := range observers {
		observe(previous, epoch)
	}
}

// OnChange registers a function that is called for each newer epoch; previous is zero for the first.
// It must be registered before the first answer is observed.
func (e *Epochs) OnChange(observe func(previous, current Epoch)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observers = append(e.observers, observe)
}

// Newest returns the newest epoch observed; zero for none.
func (e *Epochs) Newest() Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// SettlingLeft returns the rest of the settling period of the newest epoch; zero if it is over.
func (e *Epochs) SettlingLeft() time.Duration {
	changedAt := e.ChangedAt()
	if changedAt.IsZero() {
		return 0
	}
	return max(SettlingPeriod-time.Since(changedAt), 0)
}

// ChangedAt returns when a newer epoch followed a known one; the zero time if none did.
func (e *Epochs) ChangedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changedAt
}
