package coldstart

import (
	"time"
)

const (
	// Validity is how long after its request for permits a node may spend a permit from the
	// answer. It covers an answer from a busy machine and the request that uses the permit.
	Validity = 500 * time.Millisecond
	// LendingPeriod is how long a permit counts after it was lent: until it has expired and
	// the last window in which it may have been spent has passed.
	LendingPeriod = Validity + Window
	// nodeShare limits the permits in one answer to the bound divided by nodeShare, but at
	// least one permit, so that one node does not get all.
	nodeShare = 3
)

// Lender counts the permits that the holder of a control lease has lent. A permit counts as
// spent until its period has passed, whether the answer arrived or not.
type Lender struct {
	// lendsFrom is when the holder begins to lend: by then the permits of the previous holder
	// have expired.
	lendsFrom time.Time
	runners   map[string][]lending
	sweptAt   time.Time
}

// lending is a number of permits lent at one time.
type lending struct {
	at    time.Time
	count int
	// period is how long they count.
	period time.Duration
}

// NewLender returns the Lender of a node that became the lease holder at now. No other node
// has lent permits since then.
func NewLender(now time.Time) *Lender {
	return &Lender{lendsFrom: now.Add(LendingPeriod), runners: make(map[string][]lending), sweptAt: now}
}

// Lend lends up to wanted permits for a cold runner. next is the time until another permit can
// be lent, zero if one can be lent now.
func (l *Lender) Lend(runner string, wanted int, bound Bound, now time.Time) (count int, next time.Duration) {
	return l.LendWithin(runner, wanted, bound, LendingPeriod, now)
}

// LendWithin is like Lend, but the permits count for period.
func (l *Lender) LendWithin(runner string, wanted int, bound Bound, period time.Duration, now time.Time) (count int, next time.Duration) {
	if now.Before(l.lendsFrom) {
		return 0, l.lendsFrom.Sub(now)
	}
	l.sweep(now)
	lent := unexpired(l.runners[runner], now)
	left := int(bound) - sum(lent)
	count = max(min(wanted, left, max(int(bound)/nodeShare, 1)), 0)
	if count > 0 {
		lent = append(lent, lending{at: now, count: count, period: period})
	}
	if len(lent) > 0 {
		l.runners[runner] = lent
	}
	return count, untilNext(lent, left-count, now)
}

// untilNext returns the time until a permit is available. left permits are available now.
func untilNext(lent []lending, left int, now time.Time) time.Duration {
	switch {
	case left > 0:
		return 0
	case len(lent) == 0:
		// The bound allows no permits at all.
		return MaxDuration
	default:
		return lent[0].at.Add(lent[0].period).Sub(now)
	}
}

// sweep removes runners without unexpired permits.
func (l *Lender) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < LendingPeriod {
		return
	}
	l.sweptAt = now
	for runner, lent := range l.runners {
		if len(unexpired(lent, now)) == 0 {
			delete(l.runners, runner)
		}
	}
}

// unexpired returns the lendings that still count. A lending counts up to and including the
// end of its period, because the window includes its ends.
func unexpired(lent []lending, now time.Time) []lending {
	first := 0
	for first < len(lent) && now.Sub(lent[first].at) > lent[first].period {
		first++
	}
	return lent[first:]
}

// sum returns the number of permits in the lendings.
func sum(lent []lending) int {
	count := 0
	for _, l := range lent {
		count += l.count
	}
	return count
}
