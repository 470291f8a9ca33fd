package table

import (
	"sync"
	"time"
)

// Epoch numbers the histories of a store. It increases when the store returns with an older copy of
// its content: what it acknowledged after that copy is lost, and it assigns the revisions of that
// time again. Zero means that the epoch is not known.
type Epoch uint32

// FirstEpoch is the epoch of a store that names none: it has never returned with an older copy.
const FirstEpoch Epoch = 1

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
	// settlingFrom is when the newest epoch may have begun at the latest; zero if the store never returned
	// with an older copy.
	settlingFrom time.Time
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
	if epoch > FirstEpoch {
		// A process that has just started cannot tell how long ago the epoch began.
		e.settlingFrom = time.Now()
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

// SettlingLeft returns the rest of the settling period of the newest epoch; zero if it is over. The period
// of an epoch whose beginning this process did not see is counted from the first answer.
func (e *Epochs) SettlingLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settlingFrom.IsZero() {
		return 0
	}
	return max(SettlingPeriod-time.Since(e.settlingFrom), 0)
}

// setSettling records for how long an epoch has been settling, if it is the newest one and that is longer than
// known.
func (e *Epochs) setSettling(epoch Epoch, since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from := time.Now().Add(-since); epoch == e.newest && from.Before(e.settlingFrom) {
		e.settlingFrom = from
	}
}

// ChangedAt returns when a newer epoch followed a known one; the zero time if none did.
func (e *Epochs) ChangedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changedAt
}
