package upstream

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/tunnel"
)

// errUndecided means that no peer has answered in time.
var errUndecided = errors.New("no peer has answered yet")

// conclude returns the error of a runner that is reached neither directly nor through peers. That
// its address refuses connections only counts if peers say the same, or, if none says anything, if
// this node reaches other runners: a broken path may refuse them as well.
func (p *Pool) conclude(ctx context.Context, runner reach.Runner, directErr, peerErr error) error {
	if !errors.Is(directErr, syscall.ECONNREFUSED) {
		return directErr
	}
	if p.confirms(ctx, runner, peerErr) {
		return directErr
	}
	return unconfirmed(runner, directErr, peerErr)
}

// confirms reports whether a refused connection counts after peers were asked.
func (p *Pool) confirms(ctx context.Context, runner reach.Runner, peerErr error) bool {
	var unreached *tunnel.UnreachedError
	switch {
	case errors.As(peerErr, &unreached):
		return unreached.Refused
	case errors.Is(peerErr, errUndecided):
		return false
	default:
		// The peers may have used up the time of ctx.
		return p.ReachesOthers(context.WithoutCancel(ctx), runner.Name)
	}
}

// unconfirmed returns the error of a refused connection that does not show the runner's end. It wraps
// nothing: a peer that has ended refuses connections as well.
func unconfirmed(runner reach.Runner, directErr, peerErr error) error {
	return fault.At(fault.CodeUnreachable, "connect", runner.Address, fault.NotDone, fmt.Errorf("%s; not confirmed: %s", directErr.Error(), peerErr.Error()))
}

// othersTimeout bounds the attempts to connect to other runners.
const othersTimeout = 300 * time.Millisecond

// ReachesOthers reports whether this node itself connects to a runner other than the named one, of
// some that are tried. It also does if there is no other.
func (p *Pool) ReachesOthers(ctx context.Context, runner string) bool {
	if p.Others == nil {
		return true
	}
	others := p.Others(runner)
	ctx, cancel := context.WithTimeout(ctx, othersTimeout)
	defer cancel()
	attempts := make([]<-chan dialing, 0, len(others))
	for _, other := range others {
		attempts = append(attempts, p.dialAside(ctx, other))
	}
	reached := len(others) == 0
	for i, attempt := range attempts {
		result := <-attempt
		if result.err == nil {
			reached = true
			p.returnUnused(others[i].Name, result.conn)
		}
	}
	return reached
}

// Connect opens a connection to an address and closes it, to find out whether anything listens
// there. Its error is that of the dialer if peers confirm it, or if the address refused a connection and
// accepts one by the time that a peer has connected: the path works, so the runner started again.
func (p *Pool) Connect(ctx context.Context, address string) error {
	runner := reach.Runner{Address: address}
	conn, err := p.dial(ctx, runner)
	if err == nil {
		return p.closeProbe(conn, address)
	}
	if p.Tunnels == nil {
		return err
	}
	carried, peerErr := p.dialPeer(ctx, runner, place.Homes{})
	if peerErr != nil {
		return p.conclude(ctx, runner, err, peerErr)
	}
	if closeErr := p.closeProbe(carried, address); closeErr != nil {
		return closeErr
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	again, againErr := p.dial(ctx, runner)
	if againErr != nil {
		// The path from this node is broken.
		return nil
	}
	if closeErr := p.closeProbe(again, address); closeErr != nil {
		return closeErr
	}
	return err
}

// closeProbe closes a connection that nothing was sent on. It must have stayed open for presenceSettle: a
// process that ends may still accept it.
func (p *Pool) closeProbe(conn *connection, address string) error {
	if err := conn.settle(p.presenceSettle); err != nil {
		_ = conn.Close()
		return fault.At(fault.CodeInterrupted, "keep connection", address, fault.NotDone, err)
	}
	if err := conn.Close(); err != nil {
		return fault.At(fault.CodeUnreachable, "close connection", address, fault.NotDone, err)
	}
	return nil
}
