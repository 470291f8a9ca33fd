package node

import (
	"context"
	"sync/atomic"
	"time"

	"lilacvane/internal/clock"
)

const (
	pauseTick = 200 * time.Millisecond
	// longestTick is the time between two ticks of a process that did not stand
	// still.
	longestTick = 1200 * time.Millisecond
	// longestStill is the time between two ticks after which answers of runners may lie unread
	// that ask for less.
	longestStill = 400 * time.Millisecond
	// readingTime is what the node needs to read them.
	readingTime = 50 * time.Millisecond
	// freshLimit bounds how long a request waits for news after a pause.
	freshLimit = 700 * time.Millisecond
	freshPoll  = 5 * time.Millisecond
)

// pauseWatch notices that the process stood still, so that what it knows may be
// old.
type pauseWatch struct {
	// ticked is the newest tick and woken the end of the newest pause, in
	// nanoseconds since began.
	ticked atomic.Int64
	woken  atomic.Int64
	// resumed is like woken for times without a tick of longestStill.
	resumed atomic.Int64
	began   time.Time
	// suspended is how long the machine had been suspended at the last tick of run, in
	// nanoseconds. It is run's.
	suspended time.Duration
}

func newPauseWatch() *pauseWatch { return &pauseWatch{began: time.Now()} }

// run ticks until ctx ends.
func (p *pauseWatch) run(ctx context.Context) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
			p.noteSuspension(clock.Suspended())
		}
	}
}

func (p *pauseWatch) tick() {
	now := max(time.Since(p.began), 1)
	last := time.Duration(p.ticked.Load())
	if last != 0 && now-last > longestTick {
		p.woken.Store(int64(now))
	}
	if last != 0 && now-last > longestStill {
		p.resumed.Store(int64(now))
	}
	p.ticked.Store(int64(now))
}

// awaitReading waits, after the process stood still, until what came meanwhile is read: a runner
// may have asked for rest in an answer that waits to be read.
func (p *pauseWatch) awaitReading() {
	p.tick()
	if resumed := p.resumed.Load(); resumed != 0 {
		time.Sleep(time.Duration(resumed) + readingTime - time.Since(p.began))
	}
}

// noteSuspension notes a suspension of the machine, in which the clock of tick stood still.
func (p *pauseWatch) noteSuspension(suspended time.Duration) {
	if suspended-p.suspended > longestTick {
		p.woken.Store(int64(time.Since(p.began)))
	}
	p.suspended = suspended
}

// wokenAt returns when the newest pause ended. It looks at the clock itself, as
// a request may come before the first tick after a pause.
func (p *pauseWatch) wokenAt() (time.Time, bool) {
	p.tick()
	woken := p.woken.Load()
	return p.began.Add(time.Duration(woken)), woken != 0
}

// fresh lets a request wait, after a pause of the process, until the tables were
// heard of again, or cannot be.
func (n *Node) fresh(ctx context.Context) {
	woken, paused := n.pauses.wokenAt()
	if !paused {
		return
	}
	for time.Since(woken) < freshLimit && ctx.Err() == nil {
		if n.knowledge.configuration.Heard().After(woken) && n.knowledge.objects.Heard().After(woken) {
			return
		}
		time.Sleep(freshPoll)
	}
}
