package sleep

import (
	"math"
	"sync"
	"time"

	"lilacvane/internal/catalog"
	"lilacvane/internal/wire"
)

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
	// StoreMiB and DiskMiB are the speeds in MiB a second at which weights are
	// expected to load from the weight store and from a runner's disk.
	StoreMiB float64
	DiskMiB  float64
}

// LoadTime is the expected time to load a unit from where its checkpoint is.
func (s Settings) LoadTime(memoryMiB int64, tier wire.Tier) time.Duration {
	speed := s.StoreMiB
	if tier != wire.TierRemote {
		speed = s.DiskMiB
	}
	return time.Duration(float64(memoryMiB) / speed * float64(time.Second))
}

// penalty is what a cold start of a unit is worth in seconds of its own idle
// time: a unit that takes a small share of a runner costs little to keep.
func (s Settings) penalty(load time.Duration, share float64) float64 {
	return s.Exchange * math.Pow(load.Seconds(), s.TailPower) / max(share, smallestShare)
}

// smallestShare bounds how cheap a small unit is to keep.
const smallestShare = 0.001

// Place is where a unit would be loaded.
type Place struct {
	// Tier is where its checkpoint is.
	Tier wire.Tier
	// RunnerMiB is the runner's memory.
	RunnerMiB int64
}

func (p Place) share(memoryMiB int64) float64 {
	return float64(memoryMiB) / float64(max(1, p.RunnerMiB))
}

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

// For returns how long a replica of the unit without work stays loaded at a
// place.
func (k *Keeper) For(unit catalog.Unit, place Place) time.Duration {
	if k.settings.Fixed > 0 {
		return k.settings.Fixed
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	gaps, known := k.gaps[unit.Name]
	if !known {
		gaps = &Gaps{}
	}
	load := k.settings.LoadTime(unit.MemoryMiB, place.Tier)
	return gaps.KeepAlive(k.settings.penalty(load, place.share(unit.MemoryMiB)), k.settings.Limit)
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

// WakeAhead tells whether a unit should be ready now because it usually is used
// about this time.
func (k *Keeper) WakeAhead(unit catalog.Unit, place Place, local time.Time) bool {
	if k.settings.Fixed > 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pattern, known := k.patterns[unit.Name]
	load := k.settings.LoadTime(unit.MemoryMiB, place.Tier)
	return known && pattern.WakeAhead(local, load, k.settings.penalty(load, place.share(unit.MemoryMiB)))
}

// Learned is what was learned of one unit, in the form that is saved. Daily has
// a share for each slot of the day, Weekly for each slot of the week from Sunday
// on, Days and Weeks how often the first slot of them was seen, Gaps the weights
// of the histogram of idle gaps.
type Learned struct {
	Daily  []float32 `cbor:"1,keyasint"`
	Weekly []float32 `cbor:"2,keyasint"`
	Days   []uint16  `cbor:"3,keyasint"`
	Weeks  []uint16  `cbor:"4,keyasint"`
	Gaps   []float64 `cbor:"5,keyasint"`
}

// Learned returns what was learned of a unit; it reports false when that is
// nothing.
func (k *Keeper) Learned(unit string) (Learned, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var learned Learned
	if pattern, known := k.patterns[unit]; known {
		for slot := range pattern.daily {
			learned.Daily = append(learned.Daily, pattern.daily[slot].share)
			learned.Days = append(learned.Days, pattern.daily[slot].days)
		}
		for day := range pattern.weekly {
			for slot := range pattern.weekly[day] {
				learned.Weekly = append(learned.Weekly, pattern.weekly[day][slot].share)
				learned.Weeks = append(learned.Weeks, pattern.weekly[day][slot].days)
			}
		}
	}
	if gaps, known := k.gaps[unit]; known {
		learned.Gaps = gaps.weights[:]
	}
	return learned, len(learned.Daily)+len(learned.Gaps) > 0
}

// Restore takes what was saved of a unit, unless this keeper knows it already or
// the form does not fit.
func (k *Keeper) Restore(unit string, learned Learned) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	fits := len(learned.Daily) == slotsADay && len(learned.Days) == slotsADay &&
		len(learned.Weekly) == daysAWeek*slotsADay && len(learned.Weeks) == daysAWeek*slotsADay
	if _, known := k.patterns[unit]; fits && !known {
		k.patterns[unit] = restorePattern(learned)
	}
	if _, known := k.gaps[unit]; len(learned.Gaps) == gapBuckets && !known {
		gaps := &Gaps{weights: [gapBuckets]float64(learned.Gaps)}
		for _, weight := range gaps.weights {
			gaps.total += weight
		}
		k.gaps[unit] = gaps
	}
}

func restorePattern(learned Learned) *Pattern {
	pattern := &Pattern{}
	for slot := range pattern.daily {
		pattern.daily[slot] = slotShare{share: learned.Daily[slot], days: learned.Days[slot]}
	}
	for day := range pattern.weekly {
		for slot := range pattern.weekly[day] {
			at := day*slotsADay + slot
			pattern.weekly[day][slot] = slotShare{share: learned.Weekly[at], days: learned.Weeks[at]}
		}
	}
	return pattern
}
