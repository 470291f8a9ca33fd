package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/tunnel"
)

// Presence says whether a runner is still there.
type Presence string

// The states of presence.
const (
	PresenceUnknown Presence = "unknown"
	// Present means that the runner's process accepted a connection, or reset it as it has too many.
	Present Presence = "present"
	// Ended means that nothing is left at the runner's address, or only a proxy.
	Ended Presence = "ended"
)

const (
	// presenceTimeout bounds the check for a runner's presence.
	presenceTimeout = 400 * time.Millisecond
	// presenceSettle is how long the first new connection must stay open; each further one twice as long
	// as the one before. A process that ends closes its sockets one after the other, and may still accept
	// connections after it closed the first.
	presenceSettle = 20 * time.Millisecond
	// presenceChecks bounds the connections of one check.
	presenceChecks = 3
)

// Presence finds out whether the runner is still there, after a body FramedByClose has ended: the end of
// a process closes its connections as well. It connects the way the answer came, and keeps the
// connection for the next call. The error is that of the last connection, if that did not stay open.
func (a *Answer) Presence(ctx context.Context) (presence Presence, err error) {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	runner := reach.Runner{Name: a.runner, Address: a.address}
	settle := a.pool.presenceSettle
	for range presenceChecks {
		presence, err = a.pool.checkPresence(ctx, runner, a.Via != "", settle)
		if err == nil || refused(err) || ctx.Err() != nil {
			break
		}
		settle *= 2
	}
	return presence, err
}

// checkPresence connects to a runner and returns what the connection shows. A nil error means that it
// stayed open.
func (p *Pool) checkPresence(ctx context.Context, runner reach.Runner, viaPeer bool, settle time.Duration) (Presence, error) {
	conn, err := p.dialSameWay(ctx, runner, viaPeer)
	if err == nil {
		if err = conn.settle(settle); err == nil {
			p.returnUnused(runner.Name, conn)
			return Present, nil
		}
		_ = conn.Close()
	}
	switch {
	case refused(err), err == io.EOF:
		// A proxy in front of a runner that has ended accepts connections and closes them.
		return Ended, err
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, tunnel.ErrBroken):
		// A runner that has too many connections resets new ones.
		return Present, err
	default:
		return PresenceUnknown, err
	}
}

// settle waits whether a new connection stays open. Its error is how the connection ended.
func (c *connection) settle(d time.Duration) error {
	if c.tunnel != nil {
		// A deadline would end all reads of a tunnel.
		time.Sleep(d)
		if quiescent(c.Conn) {
			return nil
		}
	} else if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return errUnasked
	}
	return err
}

// errUnasked is the error of a new connection on which a runner sent bytes before a request.
var errUnasked = errors.New("bytes before a request")

// SentAt returns when the request was about to be sent.
func (a *Answer) SentAt() time.Time { return a.sent }

// dialSameWay connects to a runner directly or through a peer.
func (p *Pool) dialSameWay(ctx context.Context, runner reach.Runner, viaPeer bool) (*connection, error) {
	if viaPeer {
		return p.dialPeer(ctx, runner, place.Homes{})
	}
	return p.dial(ctx, runner)
}

// refused reports whether a connection attempt failed because the runner's address refuses connections.
func refused(err error) bool {
	var unreached *tunnel.UnreachedError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &unreached) && unreached.Refused
}
