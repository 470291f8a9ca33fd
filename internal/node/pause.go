package node

import (
	"context"
	"sync/atomic"
	"time"

	"lilacvane/internal/clock"
)

const (
	pauseCheckInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is considered to have
	// been paused.
	pauseThreshold = 1200 * time.Millisecond
	// shortPauseThreshold is the time between two ticks above which the process may not have read
	// answers in which runners ask for fewer requests.
	shortPauseThreshold = 400 * time.Millisecond
	// lateTick is how late a tick is, at the least, of a process that did not run when it was due. It is below the
	// margin that a stop leaves for a late signal.
	lateTick = 200 * time.Millisecond
	// signalDelay is how long after a process runs again it handles the signals that came meanwhile.
	signalDelay = 50 * time.Millisecond
	// pendingReadTime suffices to read such answers after a pause.
	pendingReadTime = 50 * time.Millisecond
	// freshTimeout bounds how long a request waits for fresh tables after a pause.
	freshTimeout      = 700 * time.Millisecond
	freshPollInterval = 5 * time.Millisecond
)

// pauseDetector detects that the process was paused, so that its data may be stale.
type pauseDetector struct {
	// lastTick is the time of the last tick and pauseEnd the end of the last pause, in nanoseconds
	// since start.
	lastTick atomic.Int64
	pauseEnd atomic.Int64
	// shortPauseEnd is like pauseEnd for pauses above shortPauseThreshold.
	shortPauseEnd atomic.Int64
	// late is the last time in which the process did not run though a tick was due.
	late  atomic.Pointer[latePeriod]
	start time.Time
	// suspended is how long the machine had been suspended by the last tick, in nanoseconds. It is
	// used by run only.
	suspended time.Duration
}

// latePeriod is a period, in times since the detector's start.
type latePeriod struct{ begin, end time.Duration }

func newPauseDetector() *pauseDetector { return &pauseDetector{start: time.Now()} }

// run ticks until ctx ends.
func (p *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
			p.recordSuspension(clock.Suspended())
		}
	}
}

func (p *pauseDetector) tick() {
	now := max(time.Since(p.start), 1)
	last := time.Duration(p.lastTick.Load())
	if last != 0 && now-last > pauseThreshold {
		p.pauseEnd.Store(int64(now))
	}
	if last != 0 && now-last > shortPauseThreshold {
		p.shortPauseEnd.Store(int64(now))
	}
	if due := last + pauseCheckInterval; last != 0 && now-due > lateTick {
		p.late.Store(&latePeriod{begin: due, end: now})
	}
	p.lastTick.Store(int64(now))
}

// lateness returns for how long the process did not run until a moment ago, though a tick was due; zero if it ran.
func (p *pauseDetector) lateness() time.Duration {
	p.tick()
	late := p.late.Load()
	if late == nil || time.Since(p.start)-late.end > signalDelay {
		return 0
	}
	return time.Since(p.start) - late.begin
}

// awaitPendingReads waits, after a pause, until the answers that arrived meanwhile are read. In
// one of them, a runner may ask for no requests for a while.
func (p *pauseDetector) awaitPendingReads() {
	p.tick()
	if end := p.shortPauseEnd.Load(); end != 0 {
		time.Sleep(time.Duration(end) + pendingReadTime - time.Since(p.start))
	}
}

// pausedSince reports whether the process was paused for longer than shortPauseThreshold since t. It
// checks the clock itself, as a read may return before the first tick after a pause.
func (p *pauseDetector) pausedSince(t time.Time) bool {
	p.tick()
	end := p.shortPauseEnd.Load()
	return end != 0 && p.start.Add(time.Duration(end)).After(t)
}

// recordSuspension records a suspension of the machine, during which the clock used by tick stood
// still.
func (p *pauseDetector) recordSuspension(suspended time.Duration) {
	if suspended-p.suspended > pauseThreshold {
		p.pauseEnd.Store(int64(time.Since(p.start)))
	}
	p.suspended = suspended
}

// lastPauseEnd returns when the last pause ended. It checks the clock itself, as a request may
// arrive before the first tick after a pause.
func (p *pauseDetector) lastPauseEnd() (time.Time, bool) {
	p.tick()
	end := p.pauseEnd.Load()
	return p.start.Add(time.Duration(end)), end != 0
}

// awaitFresh makes a request wait, after a pause of the process, until the tables were confirmed
// again or freshTimeout has passed.
func (n *Node) awaitFresh(ctx context.Context) {
	pauseEnd, paused := n.pauses.lastPauseEnd()
	if !paused {
		return
	}
	for time.Since(pauseEnd) < freshTimeout && ctx.Err() == nil {
		if n.followers.configuration.LastResponse().After(pauseEnd) && n.followers.objects.LastResponse().After(pauseEnd) {
			return
		}
		time.Sleep(freshPollInterval)
	}
}
