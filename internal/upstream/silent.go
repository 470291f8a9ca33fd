package upstream

import (
	"context"
	"errors"
	"time"

	"lilacvane/internal/link"
)

// muteLimit is the least time without a byte after which a connection that rested, or
// had begun its answer, is taken for silent when its request's time, or the time in
// which another runner is not tried, is over: shorter ones end for many reasons.
const muteLimit = 200 * time.Millisecond

// send bounds how long the bytes of a request may stay unacknowledged. Once they
// must be out, only probes are on their way, and some of these may get lost.
func (c *connection) send() {
	if c.patient {
		link.Send(c.Conn)
	}
	c.waiting = time.AfterFunc(link.RunnerSending, func() { link.Wait(c.Conn) })
}

// rest ends an exchange whose connection may be used again.
func (c *connection) rest() { c.patient = !c.waiting.Stop() }

// end closes a connection in use.
func (c *connection) end() {
	c.waiting.Stop()
	_ = c.Close()
}

// readingTime is how long what has arrived of an answer may still be read once its request's
// time is over: a process that stood still finds both at once.
const readingTime = 50 * time.Millisecond

// expire closes a connection in use, as the context of its request ended.
func (c *connection) expire(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) && !quiet(c.Conn) {
		time.AfterFunc(readingTime, func() { _ = c.Close() })
		return
	}
	_ = c.Close()
}

// restedFrom is when a connection that rested was taken up; zero for a new one, whose
// runner may only be slow.
func (c *connection) restedFrom() time.Time {
	if c.restedSince.IsZero() {
		return time.Time{}
	}
	return c.taken
}

// judge tells from an exchange that failed whether its connection was silent. silentFrom
// is when it last was known to work; zero when it never was. A client that left says
// nothing about it.
func (p *Pool) judge(ctx context.Context, conn *connection, step, runner string, silentFrom time.Time, cause error) {
	if link.Lost(cause) {
		p.silent(conn, link.Unacknowledged, step, runner, cause)
		return
	}
	outlived := ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled)
	if outlived && !silentFrom.IsZero() && time.Since(silentFrom) >= muteLimit {
		p.silent(conn, link.Mute, step, runner, context.Cause(ctx))
	}
}

// silent drops the resting connections that are not to be trusted after a silent
// one: nothing tells when since it was taken up the silence began, so all that rest
// now are as old.
func (p *Pool) silent(conn *connection, reason link.Reason, step, runner string, cause error) {
	p.Links.Silent(link.Runner, reason, step, runner, time.Since(conn.taken), cause)
	switch p.trust.Silent(runner, conn.taken) {
	case link.OnePeer:
		p.distrust(func(other string) bool { return other == runner })
	case link.AllPeers:
		p.distrust(func(string) bool { return true })
	}
}

// distrust closes the resting connections to runners that silent names.
func (p *Pool) distrust(silent func(runner string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for runner, resting := range p.idle {
		if !silent(runner) {
			continue
		}
		p.Links.Drop(link.Runner, link.Distrusted, len(resting))
		p.closeResting(runner)
	}
}

// closeResting closes a runner's resting connections. Its caller holds the lock.
func (p *Pool) closeResting(runner string) {
	for _, conn := range p.idle[runner] {
		_ = conn.Close()
	}
	p.keep(runner, nil)
}
