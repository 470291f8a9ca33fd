package sleep

import "time"

const (
	slotLength = 10 * time.Minute
	slotsADay  = int(24 * time.Hour / slotLength)
	daySmooth  = 0.4
)

// Pattern learns at which times of the day a unit is used. Slots are local clock
// times of slotLength.
type Pattern struct {
	// share is the smoothed share of days on which the slot saw use.
	share [slotsADay]float64
	// days counts the days seen, in use or not, by slot.
	days    [slotsADay]int
	current int
	used    bool
	started bool
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
	p.current, p.started = slot, true
	p.used = p.used || used
}

func (p *Pattern) close() {
	seen := 0.0
	if p.used {
		seen = 1
	}
	p.used = false
	if p.days[p.current] == 0 {
		p.share[p.current] = seen
	} else {
		p.share[p.current] = (1-daySmooth)*p.share[p.current] + daySmooth*seen
	}
	p.days[p.current]++
}

// Expect returns how likely a use is in the slot that begins within ahead of a
// local time. Without a day seen it is zero.
func (p *Pattern) Expect(local time.Time, ahead time.Duration) float64 {
	return p.share[slotOf(local.Add(ahead))]
}

// WakeAhead tells whether waking now is worth more than the idle time it costs:
// the chance of a use times what its cold start is worth, against the part of a
// slot the replica would stand idle. Exchange is idle seconds for each second of
// a cold start.
func (p *Pattern) WakeAhead(local time.Time, load time.Duration, exchange float64) bool {
	likely := max(p.Expect(local, 0), p.Expect(local, load+slotLength/4))
	expectedIdle := slotLength.Seconds() / 2
	return likely > 0 && likely*load.Seconds()*exchange > expectedIdle
}
