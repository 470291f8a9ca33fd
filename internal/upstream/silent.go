package upstream

import (
	"context"
	"errors"
	"time"

	"lilacvane/internal/link"
)

// minMuteTime is the least time without a byte after which a connection counts as silent if its
// request then ended other than by cancellation, such as by its deadline or by the answer of
// another runner. Requests end after shorter times for many reasons. Connections count only if they
// had been idle before the request, or had begun their answer.
const minMuteTime = 200 * time.Millisecond

// startSend bounds how long the bytes of a request may stay unacknowledged. The bound is relaxed
// after link.RunnerSending, when the request must have arrived: from then on only probes are sent,
// and some of these may get lost.
func (c *connection) startSend() {
	if c.sendTimedOut {
		link.RestoreAckTimeout(c.Conn)
	}
	c.sendTimer = time.AfterFunc(link.RunnerAckTimeout, func() { link.RelaxAckTimeout(c.Conn) })
}

// endExchange ends an exchange whose connection may be used again.
func (c *connection) endExchange() { c.sendTimedOut = !c.sendTimer.Stop() }

// discard closes a connection in use.
func (c *connection) discard() {
	c.sendTimer.Stop()
	_ = c.Close()
}

// readGrace is how long what has arrived of an answer may still be read after its request's
// deadline: a process that was stalled finds both at once.
const readGrace = 50 * time.Millisecond

// expire closes a connection in use, as the context of its request ended.
func (c *connection) expire(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) && !quiescent(c.Conn) {
		time.AfterFunc(readGrace, func() { _ = c.Close() })
		return
	}
	_ = c.Close()
}

// reusedSince returns when a connection that had been idle was acquired; zero for a new one, whose
// runner may only be slow.
func (c *connection) reusedSince() time.Time {
	if c.idleSince.IsZero() {
		return time.Time{}
	}
	return c.acquired
}

// checkSilence derives from a failed exchange whether its connection was silent. silentFrom is when
// the connection last was known to work; zero when it never was. A client that left says nothing
// about the connection.
func (p *Pool) checkSilence(ctx context.Context, conn *connection, step, runner string, silentFrom time.Time, cause error) {
	if link.AckTimedOut(cause) {
		p.handleSilence(conn, link.Unacknowledged, step, runner, cause)
		return
	}
	abandoned := ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled)
	if abandoned && !silentFrom.IsZero() && time.Since(silentFrom) >= minMuteTime {
		p.handleSilence(conn, link.Mute, step, runner, context.Cause(ctx))
	}
}

// handleSilence drops the idle connections that are not to be trusted after a silent one: it is
// unknown when since the silent one was acquired the silence began, so all idle ones may be
// affected as well.
func (p *Pool) handleSilence(conn *connection, reason link.Reason, step, runner string, cause error) {
	p.Links.Silent(link.Runner, reason, step, runner, time.Since(conn.acquired), cause)
	switch p.trust.Silent(runner, conn.acquired) {
	case link.OnePeer:
		p.dropIdle(func(other string) bool { return other == runner })
	case link.AllPeers:
		p.dropIdle(func(string) bool { return true })
	}
}

// dropIdle closes the idle connections to the selected runners.
func (p *Pool) dropIdle(selected func(runner string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for runner, idle := range p.idle {
		if !selected(runner) {
			continue
		}
		p.Links.Drop(link.Runner, link.Distrusted, len(idle))
		p.closeIdle(runner)
	}
}

// closeIdle closes a runner's idle connections. Its caller holds the lock.
func (p *Pool) closeIdle(runner string) {
	for _, conn := range p.idle[runner] {
		_ = conn.Close()
	}
	p.setIdle(runner, nil)
}
