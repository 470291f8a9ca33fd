package sleep

import (
	"sync"
	"time"

	"lilacvane/internal/catalog"
)

// Settings say how a deployment weighs cold starts against idle accelerators.
type Settings struct {
	// Fixed is a fixed keep-alive time; zero means that it is learned.
	Fixed time.Duration
	// Exchange is how many idle seconds one second of a cold start is worth.
	Exchange float64
	// Limit is the longest time a replica without work stays loaded.
	Limit time.Duration
	// MiBPerSecond is the speed at which weights are expected to load.
	MiBPerSecond float64
}

// LoadTime is the expected time to load a unit.
func (s Settings) LoadTime(memoryMiB int64) time.Duration {
	return time.Duration(float64(memoryMiB) / s.MiBPerSecond * float64(time.Second))
}

// Keeper learns the idle gaps of units and says how long they stay loaded. It is
// safe for concurrent use.
type Keeper struct {
	settings Settings
	mutex    sync.Mutex
	gaps     map[string]*Gaps
	patterns map[string]*Pattern
}

// NewKeeper returns a keeper that has seen nothing.
func NewKeeper(settings Settings) *Keeper {
	return &Keeper{settings: settings, gaps: make(map[string]*Gaps), patterns: make(map[string]*Pattern)}
}

// For returns how long a replica of the unit without work stays loaded.
func (k *Keeper) For(unit catalog.Unit, _ time.Time) time.Duration {
	if k.settings.Fixed > 0 {
		return k.settings.Fixed
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	gaps, known := k.gaps[unit.Name]
	if !known {
		gaps = &Gaps{}
	}
	return gaps.KeepAlive(k.settings.LoadTime(unit.MemoryMiB), k.settings.Exchange, k.settings.Limit)
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
	if k.patterns[unit] == nil {
		k.patterns[unit] = &Pattern{}
	}
	k.patterns[unit].Observe(local, used)
}

// WakeAhead tells whether a unit should be ready now because it usually is used
// about this time.
func (k *Keeper) WakeAhead(unit catalog.Unit, local time.Time) bool {
	if k.settings.Fixed > 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pattern, known := k.patterns[unit.Name]
	return known && pattern.WakeAhead(local, k.settings.LoadTime(unit.MemoryMiB), k.settings.Exchange)
}
