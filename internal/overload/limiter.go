package overload

import (
	"runtime"
	"time"
)

const (
	// targetDelay is the delay above which a process takes on less. A request passes through some
	// three of them until its answer begins.
	targetDelay = 50 * time.Millisecond
	// adjustInterval is the time between two changes of the limit: long enough for the last one to
	// show in the delays, and for a quota to give processor time again.
	adjustInterval = 100 * time.Millisecond
	// liftAfter is how long the limit must not have been reached until it is lifted.
	liftAfter = 2 * time.Second
	// minPerProcessor is the smallest limit for each processor that the process uses: some requests
	// start at any time, so that delays are measured and connections accepted.
	minPerProcessor = 8
	// maxCut is the largest part of the limit that is taken away at once, growth the part that is
	// added.
	maxCut = 0.25
	growth = 0.05
)

// limiter bounds the number of requests that start at the same time, from the first delay above
// targetDelay on. It is not safe for concurrent use.
type limiter struct {
	// limit is the largest number of requests that may start, zero for any number.
	limit float64
	// reached is set if a request was refused since the last adjustment; lastNeeded is when one was
	// refused or the delay was too long.
	reached    bool
	lastNeeded time.Time
	adjusted   time.Time
}

// admits reports whether one more request may start besides those that do, within a part of the limit. It
// records that one was refused: the limit grows only while it is reached.
func (l *limiter) admits(starting int, part float64) bool {
	if l.limit == 0 || float64(starting) < part*l.limit {
		return true
	}
	l.reached = true
	return false
}

// adjust sets the limit by the load, at most once per adjustInterval.
func (l *limiter) adjust(now time.Time, load Load) {
	if now.Sub(l.adjusted) < adjustInterval {
		return
	}
	delay, late := load.Delay(), load.Delay() > targetDelay
	if late || l.reached {
		l.lastNeeded = now
	}
	switch {
	case late && l.limit == 0:
		l.limit = float64(load.Starting)
		fallthrough
	case late:
		l.limit *= 1 - maxCut*(1-float64(targetDelay)/float64(delay))
		l.limit = max(l.limit, float64(minPerProcessor*runtime.GOMAXPROCS(0)))
	case l.reached:
		l.limit += max(1, growth*l.limit)
	case now.Sub(l.lastNeeded) > liftAfter:
		l.limit = 0
	}
	l.adjusted, l.reached = now, false
}
