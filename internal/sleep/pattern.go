package sleep

import (
	"math"
	"time"
)

const (
	slotLength = 10 * time.Minute
	slotsADay  = int(24 * time.Hour / slotLength)
	daySmooth  = 0.15
	daysAWeek  = 7
	// enoughWeeks is how often a weekday must have been seen to count alone.
	enoughWeeks = 2
)

// Pattern learns at which times of the week a unit is used. Slots are local
// clock times of slotLength.
type Pattern struct {
	// daily holds every day's slots, weekly those of each weekday.
	daily   [slotsADay]slotShare
	weekly  [daysAWeek][slotsADay]slotShare
	weekday time.Weekday
	current int
	used    bool
	started bool
}

const day = 24 * time.Hour

// newPattern returns a pattern that has seen a number of days without use.
func newPattern(days uint16) *Pattern {
	p := &Pattern{}
	for slot := range p.daily {
		p.daily[slot].days = days
	}
	for weekday := range p.weekly {
		for slot := range p.weekly[weekday] {
			p.weekly[weekday][slot].days = days / daysAWeek
		}
	}
	return p
}

func slotOf(local time.Time) int {
	midnight := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute
	return int(midnight / slotLength)
}

// Observe tells the pattern that the unit was or was not used lately at a local
// time. It is called at least once a slot.
func (p *Pattern) Observe(local time.Time, used bool) {
	slot := slotOf(local)
	if p.started && slot != p.current {
		p.close()
	}
	p.current, p.weekday, p.started = slot, local.Weekday(), true
	p.used = p.used || used
}

func (p *Pattern) close() {
	seen := 0.0
	if p.used {
		seen = 1
	}
	p.used = false
	p.daily[p.current].observe(seen)
	p.weekly[p.weekday][p.current].observe(seen)
}

// Expect returns how likely a use is in the slot that lies ahead of a local
// time: what was seen at this time of the day, or on this weekday if that says
// more. Without a day seen it is zero.
func (p *Pattern) Expect(local time.Time, ahead time.Duration) float64 {
	at := local.Add(ahead)
	slot := slotOf(at)
	sameWeekday := p.weekly[at.Weekday()][slot]
	if sameWeekday.days < enoughWeeks {
		return float64(p.daily[slot].share)
	}
	return float64(max(p.daily[slot].share, sameWeekday.share))
}

// slotShare is the smoothed share of days on which a slot saw use.
type slotShare struct {
	share float32
	days  uint16
}

func (s *slotShare) observe(seen float64) {
	smooth := max(daySmooth, 1/float64(s.days+1))
	s.share = float32((1-smooth)*float64(s.share) + smooth*seen)
	if s.days < math.MaxUint16 {
		s.days++
	}
}

// WakeAhead tells whether waking now is worth more than the idle time it costs:
// the chance of a use times penalty, the idle seconds that its cold start is
// worth, against the part of a slot the replica would stand idle.
func (p *Pattern) WakeAhead(local time.Time, load time.Duration, penalty float64) bool {
	likely := max(p.Expect(local, 0), p.Expect(local, load+slotLength/4))
	expectedIdle := slotLength.Seconds() * (1 - likely/2)
	return likely > 0 && likely*penalty > expectedIdle
}
