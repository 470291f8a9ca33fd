package sleep

import (
	"math"
	"time"
)

const (
	slotLength  = 10 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// minSmoothing is the weight of a new observation of a slot once there are many; the first
	// ones count equally.
	minSmoothing = 0.15
	daysPerWeek  = 7
	// minWeeks is the number of observations of a weekday from which its own share is used.
	minWeeks = 2
)

// Pattern learns at which times of the week a unit is used, in slots of slotLength in local
// time.
type Pattern struct {
	// daily are the slots of all days, weekly those of each weekday.
	daily  [slotsPerDay]slotShare
	weekly [daysPerWeek][slotsPerDay]slotShare
	// weekday and currentSlot name the slot of the latest observation. used is set if the unit
	// was used in it, started once there is an observation.
	weekday     time.Weekday
	currentSlot int
	used        bool
	started     bool
}

const day = 24 * time.Hour

// newPattern returns a pattern with a number of days without use.
func newPattern(days uint16) *Pattern {
	p := &Pattern{}
	for slot := range p.daily {
		p.daily[slot].days = days
	}
	for weekday := range p.weekly {
		for slot := range p.weekly[weekday] {
			p.weekly[weekday][slot].days = days / daysPerWeek
		}
	}
	return p
}

// slotOf returns the slot of a local time.
func slotOf(local time.Time) int {
	midnight := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute
	return int(midnight / slotLength)
}

// Observe records whether the unit was used recently at a local time. It must be called at
// least once per slot.
func (p *Pattern) Observe(local time.Time, used bool) {
	slot := slotOf(local)
	if p.started && slot != p.currentSlot {
		p.close()
	}
	p.currentSlot, p.weekday, p.started = slot, local.Weekday(), true
	p.used = p.used || used
}

// close records the current slot, which has ended.
func (p *Pattern) close() {
	seen := 0.0
	if p.used {
		seen = 1
	}
	p.used = false
	p.daily[p.currentSlot].observe(seen)
	p.weekly[p.weekday][p.currentSlot].observe(seen)
}

// Expect returns the probability of a use in the slot at a time ahead of a local time: the
// share of days with use of this slot, or the share of this weekday if that is larger and was
// observed often enough. It is zero without observations.
func (p *Pattern) Expect(local time.Time, ahead time.Duration) float64 {
	at := local.Add(ahead)
	slot := slotOf(at)
	sameWeekday := p.weekly[at.Weekday()][slot]
	if sameWeekday.days < minWeeks {
		return float64(p.daily[slot].share)
	}
	return float64(max(p.daily[slot].share, sameWeekday.share))
}

// slotShare is the smoothed share of days on which a slot was used.
type slotShare struct {
	share float32
	days  uint16
}

// observe adds a day; seen is 1 if the slot was used on it, else 0.
func (s *slotShare) observe(seen float64) {
	smoothing := max(minSmoothing, 1/float64(s.days+1))
	s.share = float32((1-smoothing)*float64(s.share) + smoothing*seen)
	if s.days < math.MaxUint16 {
		s.days++
	}
}

// WakeAhead reports whether loading now is worth more than the idle time it costs. It compares
// the probability of a use times penalty, the idle seconds that a cold start is worth, with
// the part of a slot for which the replica would be idle.
func (p *Pattern) WakeAhead(local time.Time, load time.Duration, penalty float64) bool {
	probability := max(p.Expect(local, 0), p.Expect(local, load+slotLength/4))
	expectedIdle := slotLength.Seconds() * (1 - probability/2)
	return probability > 0 && probability*penalty > expectedIdle
}
