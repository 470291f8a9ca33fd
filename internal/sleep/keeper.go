package sleep

import (
	"math"
	"sync"
	"time"
)

// Replica is a model at a place where it would be loaded.
type Replica struct {
	Name string
	// LoadTime is how long a load there takes.
	LoadTime time.Duration
	// Share is the part of the runner's memory that it takes, 0 to 1.
	Share float64
}

// Settings say how a deployment weighs cold starts against idle accelerators.
type Settings struct {
	// Fixed is a fixed keep-alive time; zero means that it is learned.
	Fixed time.Duration
	// Exchange is how many idle seconds a cold start of one second is worth. A
	// cold start n times as long is worth n to the power TailPower times as
	// much: what is weighed is the tail, not the mean.
	Exchange  float64
	TailPower float64
	// Limit is the longest time a replica without work stays loaded.
	Limit time.Duration
}

// penalty is what a cold start of a unit is worth in seconds of its own idle
// time: a unit that takes a small share of a runner costs little to keep.
func (s Settings) penalty(r Replica) float64 {
	return s.Exchange * math.Pow(r.LoadTime.Seconds(), s.TailPower) / max(r.Share, smallestShare)
}

// smallestShare bounds how cheap a small unit is to keep.
const smallestShare = 0.001

// Keeper learns the idle gaps of units and says how long they stay loaded. It is
// safe for concurrent use.
type Keeper struct {
	settings Settings
	mutex    sync.Mutex
	gaps     map[string]*Gaps
	patterns map[string]*Pattern
	// firstSeen is when units without a pattern were first asked about.
	firstSeen map[string]time.Time
}

// NewKeeper returns a keeper that has seen nothing.
func NewKeeper(settings Settings) *Keeper {
	return &Keeper{settings: settings, gaps: make(map[string]*Gaps), patterns: make(map[string]*Pattern), firstSeen: make(map[string]time.Time)}
}

// For returns how long a replica without work stays loaded.
func (k *Keeper) For(replica Replica) time.Duration {
	if k.settings.Fixed > 0 {
		return k.settings.Fixed
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	gaps, known := k.gaps[replica.Name]
	if !known {
		gaps = &Gaps{}
	}
	return gaps.KeepAlive(k.settings.penalty(replica), k.settings.Limit)
}

// ObserveGap adds the idle time between two uses of a unit.
func (k *Keeper) ObserveGap(unit string, gap time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.gaps[unit] == nil {
		k.gaps[unit] = &Gaps{}
	}
	k.gaps[unit].Observe(gap)
}

// ObserveUse tells whether a unit had demand at a local time.
func (k *Keeper) ObserveUse(unit string, local time.Time, used bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.patterns[unit] == nil && !k.startPattern(unit, local, used) {
		return
	}
	k.patterns[unit].Observe(local, used)
}

// startPattern begins a unit's pattern at its first use, with the days before
// counted as days without use; most units are idle and need none. It is called
// with the mutex held.
func (k *Keeper) startPattern(unit string, local time.Time, used bool) bool {
	first, known := k.firstSeen[unit]
	if !known {
		first = local
		k.firstSeen[unit] = local
	}
	if !used {
		return false
	}
	days := min(local.Sub(first)/day, math.MaxUint16)
	k.patterns[unit] = newPattern(uint16(days))
	delete(k.firstSeen, unit)
	return true
}

// WakeAhead tells whether a model should be ready now because it usually is used
// about this time.
func (k *Keeper) WakeAhead(replica Replica, local time.Time) bool {
	if k.settings.Fixed > 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pattern, known := k.patterns[replica.Name]
	return known && pattern.WakeAhead(local, replica.LoadTime, k.settings.penalty(replica))
}
