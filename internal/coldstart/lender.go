package coldstart

import (
	"time"
)

const (
	// Validity is how long a permit may be spent after its node sent the question that
	// was answered with it: an answer on a busy machine, and the request that it is for.
	Validity = 500 * time.Millisecond
	// Held is how long a permit counts after it was lent: until it has run out and the
	// last second that it could be spent in has passed.
	Held = Validity + Second
	// nodeShare is the part of the bound that one answer lends at most, so that one node
	// does not take all.
	nodeShare = 3
)

// Lender is the account of the permits that the holder of a control lease lent. What is
// lent counts as spent until it has run out, whether it arrived or not.
type Lender struct {
	// from is when it begins to lend: what a holder before it lent has run out by then.
	from    time.Time
	runners map[string][]lending
	sweptAt time.Time
}

// lending is what was lent at one time.
type lending struct {
	at    time.Time
	count int
	// counts is how long it counts.
	counts time.Duration
}

// NewLender returns the account of a holder that took its lease at now. Nobody else has
// lent anything since.
func NewLender(now time.Time) *Lender {
	return &Lender{from: now.Add(Held), runners: make(map[string][]lending), sweptAt: now}
}

// Lend lends permits for a cold runner, as many as are wanted at most. next is the time until
// another one can be lent; zero when one can now.
func (l *Lender) Lend(runner string, wanted int, bound Bound, now time.Time) (count int, next time.Duration) {
	return l.LendWithin(runner, wanted, bound, Held, now)
}

// LendWithin is Lend for a runner for which what is lent counts for period.
func (l *Lender) LendWithin(runner string, wanted int, bound Bound, period time.Duration, now time.Time) (count int, next time.Duration) {
	if now.Before(l.from) {
		return 0, l.from.Sub(now)
	}
	l.sweep(now)
	lent := current(l.runners[runner], now)
	left := int(bound) - sum(lent)
	count = max(min(wanted, left, max(int(bound)/nodeShare, 1)), 0)
	if count > 0 {
		lent = append(lent, lending{at: now, count: count, counts: period})
	}
	if len(lent) > 0 {
		l.runners[runner] = lent
	}
	return count, untilNext(lent, left-count, now)
}

// untilNext is the time until a permit is free again, of which left are now.
func untilNext(lent []lending, left int, now time.Time) time.Duration {
	switch {
	case left > 0:
		return 0
	case len(lent) == 0:
		// The bound allows none at all.
		return Longest
	default:
		return lent[0].at.Add(lent[0].counts).Sub(now)
	}
}

// sweep forgets runners that nothing is lent for any more.
func (l *Lender) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < Held {
		return
	}
	l.sweptAt = now
	for runner, lent := range l.runners {
		if len(current(lent, now)) == 0 {
			delete(l.runners, runner)
		}
	}
}

// current drops what counts no more. A lending counts through the whole of its last
// moment, as the window's ends belong to it.
func current(lent []lending, now time.Time) []lending {
	first := 0
	for first < len(lent) && now.Sub(lent[first].at) > lent[first].counts {
		first++
	}
	return lent[first:]
}

func sum(lent []lending) int {
	count := 0
	for _, l := range lent {
		count += l.count
	}
	return count
}
