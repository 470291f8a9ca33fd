package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilacvane/internal/link"
)

// minMuteTime is the least time without a byte after which a connection counts as silent if its
// request then ended other than by cancellation, such as by its deadline or by the answer of
// another runner. Requests end after shorter times for many reasons. Connections count only if they
// had been idle before the request, or had begun their answer.
const minMuteTime = 200 * time.Millisecond

// beginExchange prepares a connection for a request.
func (c *connection) beginExchange(request string) {
	c.recordRequest(request)
	c.send.Start(c.Conn)
	if c.tunnel != nil {
		c.tunnel.Begin(request)
	}
}

// endExchange reports whether a connection may be used again after a complete answer.
func (c *connection) endExchange() bool {
	c.send.Stop()
	return c.tunnel == nil || !c.tunnel.Closing() && c.tunnel.Done() == nil
}

// via returns the address of the peer that the connection leads through; empty if it is direct.
func (c *connection) via() string {
	if c.tunnel == nil {
		return ""
	}
	return c.tunnel.Peer
}

// describe adds the peer that the connection leads through to an error.
func (c *connection) describe(cause error) error {
	if c.tunnel == nil {
		return cause
	}
	return fmt.Errorf("through %s: %w", c.tunnel.Peer, cause)
}

// discard closes a connection in use.
func (c *connection) discard() {
	c.send.Stop()
	_ = c.Close()
}

// readGrace is how long what has arrived of an answer may still be read after its request's
// deadline: a process that was stalled finds both at once.
const readGrace = 50 * time.Millisecond

// expire closes a connection in use, as the context of its request ended.
func (c *connection) expire(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) && !socketQuiescent(c.Conn) {
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
	if conn.tunnel != nil {
		p.Links.Silent(link.Peer, reason, step, conn.tunnel.Peer, time.Since(conn.acquired), cause)
		p.Tunnels.Failed(conn.tunnel.Peer)
		p.dropIdleThrough(conn.tunnel.Peer)
		return
	}
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

// dropIdleThrough closes the idle connections that lead through a peer.
func (p *Pool) dropIdleThrough(peer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for runner, idle := range p.idle {
		kept := make([]*connection, 0, len(idle))
		for _, conn := range idle {
			if conn.via() != peer {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
			p.Links.Drop(link.Peer, link.Distrusted, 1)
		}
		p.setIdle(runner, kept)
	}
}

// closeIdle closes a runner's idle connections. Its caller holds the lock.
func (p *Pool) closeIdle(runner string) {
	for _, conn := range p.idle[runner] {
		_ = conn.Close()
	}
	p.setIdle(runner, nil)
}
