package statement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// crossing is how long after a runner named its limit an answer without it may have been under way
// already: it lifts nothing.
const crossing = 250 * time.Millisecond

// limit notes a limit, and reports whether that is news.
func (r *record) limit(now time.Time, rate float64, lasting time.Duration) bool {
	news := !r.limited(now, lasting) || rate != r.rate
	r.rate, r.limitedAt = rate, now
	return news
}

// limited reports whether the runner named a limit within the last time that was not lifted.
func (r *record) limited(now time.Time, lasting time.Duration) bool {
	return r.rate > 0 && within(r.limitedAt, now, lasting)
}

// lift ends a runner's limit, as its answer to a request names none any more.
func (b *Book) lift(source Source) {
	if b.known.Load() == 0 {
		return
	}
	if !b.lifted(source.Runner) {
		return
	}
	b.options.Log.Info("runner names no limit any more", "runner", source.Runner, "request", source.Request)
	if b.options.Widened != nil {
		b.options.Widened()
	}
}

// lifted ends a limit, and reports whether there was one.
func (b *Book) lifted(runner string) bool {
	now := b.options.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.runners[runner]
	if known == nil || !known.limited(now, b.options.Limits().LimitFor) || within(known.limitedAt, now, crossing) {
		return false
	}
	known.rate, known.liftedAt = 0, now
	return true
}

// HeardLimit is a runner that named a limit, and how long ago it did so last.
type HeardLimit struct {
	Runner string
	// Rate is the limit in requests a second.
	Rate float64
	Age  time.Duration
}

// Limits returns the limits that are in force, those named last first.
func (b *Book) Limits() []HeardLimit {
	return b.heardLimits(func(r *record) time.Time { return r.limitedAt })
}

// HeardLimits returns those of them that this node heard in answers, by these alone: nodes report no
// others.
func (b *Book) HeardLimits() []HeardLimit {
	return b.heardLimits(func(r *record) time.Time { return r.ownLimitAt })
}

// heardLimits returns the limits by a time that is told of each.
func (b *Book) heardLimits(at func(*record) time.Time) []HeardLimit {
	if b == nil || b.known.Load() == 0 {
		return nil
	}
	now, lasting := b.options.Now(), b.options.Limits().LimitFor
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var heard []HeardLimit
	for id, known := range b.runners {
		if said := at(known); known.limited(now, lasting) && within(said, now, lasting) {
			heard = append(heard, HeardLimit{Runner: id, Rate: known.rate, Age: now.Sub(said)})
		}
	}
	slices.SortFunc(heard, func(x, y HeardLimit) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner)) })
	return heard
}

// LearnLimits takes the word of another node that runners named limits.
func (b *Book) LearnLimits(peer string, heard []HeardLimit) {
	for _, told := range heard {
		if b.learnLimit(told) {
			b.announce(Source{Runner: told.Runner, Peer: peer}, Limit{Rate: told.Rate})
		}
	}
}

// learnLimit notes one such word, and reports whether it is news. One that is older than what this
// node heard changes nothing.
func (b *Book) learnLimit(heard HeardLimit) bool {
	now, limits := b.options.Now(), b.options.Limits()
	age := max(heard.Age, 0)
	if heard.Runner == "" || !(heard.Rate >= limits.LeastRate) || math.IsInf(heard.Rate, 0) || age >= limits.LimitFor {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, at := b.recordOf(heard.Runner, now), now.Add(-age)
	if !at.After(known.limitedAt) || !at.After(known.liftedAt) {
		return false
	}
	news := !known.limited(now, limits.LimitFor) || known.rate != heard.Rate
	known.rate, known.limitedAt = heard.Rate, at
	return news
}
