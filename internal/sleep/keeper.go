package sleep

import (
	"math"
	"sync"
	"time"
)

// Replica is a unit on a runner where it is or would be loaded.
type Replica struct {
	// Name identifies the unit.
	Name string
	// LoadTime is the duration of a load there.
	LoadTime time.Duration
	// Share is the fraction, 0 to 1, of the runner's memory that it takes.
	Share float64
}

// Settings weigh cold starts against idle accelerators.
type Settings struct {
	// Fixed is a fixed keep-alive time. If zero, the time is learned.
	Fixed time.Duration
	// IdlePerColdSecond is the number of idle seconds that a cold start of one second is
	// worth. A cold start that is n times as long is worth n to the power of TailPower times
	// as much, so that the tail of the cold starts counts and not the mean.
	IdlePerColdSecond float64
	TailPower         float64
	// Limit is the maximum keep-alive time.
	Limit time.Duration
}

// penalty returns the value of a cold start in idle seconds of the unit itself: a unit that
// takes a small share of a runner costs little to keep.
func (s Settings) penalty(r Replica) float64 {
	return s.IdlePerColdSecond * math.Pow(r.LoadTime.Seconds(), s.TailPower) / max(r.Share, minShare)
}

// minShare is the smallest share that counts: it limits how cheap it is to keep a small unit.
const minShare = 0.001

// Keeper learns the idle times of units and decides how long they stay loaded. It is safe for
// concurrent use.
type Keeper struct {
	settings Settings
	mutex    sync.Mutex
	gaps     map[string]*Gaps
	patterns map[string]*Pattern
	// firstSeen is when units without a pattern were first observed.
	firstSeen map[string]time.Time
}

// NewKeeper returns a Keeper without observations.
func NewKeeper(settings Settings) *Keeper {
	return &Keeper{settings: settings, gaps: make(map[string]*Gaps), patterns: make(map[string]*Pattern), firstSeen: make(map[string]time.Time)}
}

// KeepAlive returns how long a replica stays loaded while it is idle.
func (k *Keeper) KeepAlive(replica Replica) time.Duration {
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

// ObserveUse records whether a unit had demand at a local time.
func (k *Keeper) ObserveUse(unit string, local time.Time, used bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.patterns[unit] == nil && !k.startPattern(unit, local, used) {
		return
	}
	k.patterns[unit].Observe(local, used)
}

// startPattern creates the pattern of a unit at its first use, with the days before counted as
// days without use. Units that were never used need no pattern, and most are idle. The mutex
// must be held.
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

// WakeAhead reports whether a unit should be loaded now because it is usually used at about
// this local time. It is false if the keep-alive time is fixed.
func (k *Keeper) WakeAhead(replica Replica, local time.Time) bool {
	if k.settings.Fixed > 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pattern, known := k.patterns[replica.Name]
	return known && pattern.WakeAhead(local, replica.LoadTime, k.settings.penalty(replica))
}
