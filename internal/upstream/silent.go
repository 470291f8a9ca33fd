package upstream

import (
	"context"
	"errors"
	"time"

	"lilacvane/internal/link"
)

// muteLimit is the least time without an answer after which a connection that
// rested is taken for silent when its request's time, or the time in which another
// runner is not tried, is over: shorter ones end for many reasons.
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

// judge tells from a request without an answer whether its connection was silent.
// A client that left says nothing about it.
func (p *Pool) judge(ctx context.Context, conn *connection, step, runner string, cause error) {
	if link.Lost(cause) {
		p.silent(conn, link.Unacknowledged, step, runner, cause)
		return
	}
	outlived := ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled)
	if outlived && !conn.restedSince.IsZero() && time.Since(conn.taken) >= muteLimit {
		p.silent(conn, link.Mute, step, runner, context.Cause(ctx))
	}
}

// silent drops the resting connections that are not to be trusted after a silent
// one.
func (p *Pool) silent(conn *connection, reason link.Reason, step, runner string, cause error) {
	p.Links.Silent(link.Runner, reason, step, runner, time.Since(conn.taken), cause)
	all := p.trust.Silent(runner) == link.AllPeers
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for other, resting := range p.idle {
		if all || other == runner {
			p.idle[other] = p.distrust(resting, conn.taken)
		}
	}
}

// distrust closes resting connections but those that have been used since the
// silent one was taken up, and returns these. Its caller holds the lock.
func (p *Pool) distrust(resting []*connection, since time.Time) []*connection {
	var kept []*connection
	for _, conn := range resting {
		if conn.restedSince.After(since) {
			kept = append(kept, conn)
			continue
		}
		_ = conn.Close()
	}
	p.Links.Drop(link.Runner, link.Distrusted, len(resting)-len(kept))
	return kept
}
