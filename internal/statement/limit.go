package statement

import "time"

// crossing is how long after a runner named its limit an answer without it may have been under way
// already: it lifts nothing.
const crossing = 250 * time.Millisecond

// limit notes a limit, and reports whether that is news.
func (r *record) limit(now time.Time, rate float64, lasting time.Duration) bool {
	news := !r.limited(now, lasting) || rate != r.rate
	if !r.limited(now, lasting) {
		r.limitedFrom = now
	}
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
	known.rate = 0
	return true
}
