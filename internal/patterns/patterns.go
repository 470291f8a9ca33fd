// Package patterns keeps what was learned about units in the platform's object
// store, since nodes keep nothing: a unit's coordinator saves it now and then,
// and the next coordinator reads it. Losing it costs a few days of learning.
package patterns

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/objects"
	"lilacvane/internal/sleep"
	"lilacvane/internal/wire"
)

const (
	prefix      = "pattern-"
	callTimeout = 5 * time.Second
	lookEvery   = 5 * time.Second
	// callsARound bounds the calls to the store in one round, so that a node
	// that takes over many units does not flood it.
	callsARound = 20
)

// Owned lists the units this node coordinates.
type Owned func() []string

// Saver reads and saves patterns for the units a node coordinates.
type Saver struct {
	store  objects.Store
	keeper *sleep.Keeper
	owned  Owned
	every  time.Duration
	logger logr.Logger

	mutex sync.Mutex
	// next is, by unit, when it is to be saved; units not in it were not read
	// yet.
	next map[string]time.Time
}

// NewSaver returns a saver that saves each unit once in every.
func NewSaver(store objects.Store, keeper *sleep.Keeper, owned Owned, every time.Duration, logger logr.Logger) *Saver {
	return &Saver{store: store, keeper: keeper, owned: owned, every: every, logger: logger, next: make(map[string]time.Time)}
}

// Run reads and saves until ctx ends.
func (s *Saver) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.round(ctx, now)
		}
	}
}

func (s *Saver) round(ctx context.Context, now time.Time) {
	owned := s.owned()
	s.forget(owned)
	calls := 0
	for _, unit := range owned {
		if calls == callsARound {
			return
		}
		s.mutex.Lock()
		due, known := s.next[unit]
		s.mutex.Unlock()
		switch {
		case !known:
			calls++
			s.read(ctx, unit, now)
		case now.After(due):
			calls++
			s.save(ctx, unit, now)
		}
	}
}

// forget drops units that another node coordinates now.
func (s *Saver) forget(owned []string) {
	present := make(map[string]struct{}, len(owned))
	for _, unit := range owned {
		present[unit] = struct{}{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for unit := range s.next {
		if _, stays := present[unit]; !stays {
			delete(s.next, unit)
		}
	}
}

func (s *Saver) plan(unit string, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next[unit] = at
}

func (s *Saver) read(ctx context.Context, unit string, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	content, found, err := s.store.Get(ctx, prefix+unit)
	if err != nil {
		s.logger.V(1).Info("pattern not read", "step", "read pattern", "model", unit, "error", err.Error())
		return
	}
	if found {
		var learned sleep.Learned
		if err := wire.Decode(content, "object store", &learned); err != nil {
			s.logger.Error(err, "pattern not readable", "step", "read pattern", "model", unit)
		} else {
			s.keeper.Restore(unit, learned)
		}
	}
	s.plan(unit, now.Add(rand.N(s.every)))
}

func (s *Saver) save(ctx context.Context, unit string, now time.Time) {
	s.plan(unit, now.Add(s.every))
	learned, worth := s.keeper.Learned(unit)
	if !worth {
		return
	}
	content, err := wire.Encode(learned)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.store.Put(ctx, prefix+unit, content); err != nil {
		s.logger.V(1).Info("pattern not saved", "step", "save pattern", "model", unit, "error", err.Error())
	}
}

// SaveAll saves every unit, for a node that leaves.
func (s *Saver) SaveAll(ctx context.Context) {
	for _, unit := range s.owned() {
		if ctx.Err() != nil {
			return
		}
		s.save(ctx, unit, time.Now())
	}
}
