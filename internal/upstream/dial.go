package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/link"
	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/tunnel"
)

const (
	// fallbackDelay is how long a direct connection attempt may take until a peer is asked as
	// well: longer than one between regions takes.
	fallbackDelay = 200 * time.Millisecond
	// peerGrace is how long a peer may still take after a direct attempt failed for no known cause: a
	// runner that has just ended is not waited for.
	peerGrace = 150 * time.Millisecond
)

// connect opens a connection for a call.
func (p *Pool) connect(ctx context.Context, call Call) (*connection, error) {
	runner := reach.Runner{Name: call.Runner, Address: call.Address}
	if !call.Direct && p.Tunnels != nil {
		conn, err := p.connectAnyWay(ctx, runner, call.Homes)
		if err != nil && call.Homes.Restricted() && !fault.IsCode(err, fault.CodeNoPathInHomes) {
			// Peers that may not pass the call on still tell whether only the path is broken.
			go p.Check(runner)
		}
		return conn, err
	}
	conn, err := p.dial(ctx, runner)
	if err != nil {
		go p.Check(runner)
	}
	return conn, err
}

// connectAnyWay opens a connection to a runner, directly or through a peer in one of the homes, in the
// way that is expected to work.
func (p *Pool) connectAnyWay(ctx context.Context, runner reach.Runner, homes place.Homes) (*connection, error) {
	switch p.Reach.Way(runner) {
	case reach.Alone:
		if p.Reach.Fails(runner.Name) {
			return nil, fault.At(fault.CodeUnreachable, "connect", runner.Address, fault.NotDone, errFailedLately)
		}
		conn, err := p.dial(ctx, runner)
		if errors.Is(err, syscall.ECONNREFUSED) && !p.Reach.RefusesPeers(runner.Name) {
			return nil, unconfirmed(runner, err, errUndecided)
		}
		return conn, err
	case reach.ViaPeer:
		conn, peerErr := p.dialPeer(ctx, runner, homes)
		if peerErr == nil || ctx.Err() != nil {
			return conn, peerErr
		}
		if homes.Restricted() && p.Reach.Fails(runner.Name) {
			return nil, fault.At(fault.CodeNoPathInHomes, "connect", runner.Address, fault.NotDone, peerErr)
		}
		// The path may work again.
		conn, err := p.dial(ctx, runner)
		if err != nil {
			return nil, p.conclude(ctx, runner, err, peerErr)
		}
		return conn, nil
	case reach.Either:
		return p.race(ctx, runner, homes, 0, tunnel.OpenTimeout)
	default:
		return p.race(ctx, runner, homes, fallbackDelay, peerGrace)
	}
}

// dialing is the outcome of a connection attempt.
type dialing struct {
	conn *connection
	err  error
}

// race connects directly and, once that has failed or taken delay, through a peer in one of the homes as
// well, and returns the connection that is there first. If the direct attempt has failed, peers get grace to
// do better. Attempts that are left go on: their outcomes show whether the path is broken, and their
// connections are kept for the next call.
func (p *Pool) race(ctx context.Context, runner reach.Runner, homes place.Homes, delay, grace time.Duration) (*connection, error) {
	start := time.Now()
	aside := context.WithoutCancel(ctx)
	direct := p.dialAside(aside, runner)
	var peer <-chan dialing
	defer func() {
		p.keep(runner, direct)
		p.keep(runner, peer)
	}()
	askPeer := time.NewTimer(delay + p.Allowance.Get())
	defer askPeer.Stop()
	giveUp := time.NewTimer(tunnel.OpenTimeout + delay + p.Allowance.Get())
	defer giveUp.Stop()
	var directErr, peerErr error
	for directErr == nil || peerErr == nil {
		select {
		case <-ctx.Done():
			return nil, fault.At(fault.CodeUnreachable, "connect", runner.Address, fault.NotDone, context.Cause(ctx))
		case result := <-direct:
			direct = nil
			if result.err == nil {
				return result.conn, nil
			}
			if peer == nil && p.inconclusive(result.err, time.Since(start)) {
				return nil, result.err
			}
			directErr = result.err
			askPeer.Reset(0)
			giveUp.Reset(grace)
		case <-askPeer.C:
			wait := delay + p.Allowance.Get() - time.Since(start)
			switch {
			case peer != nil || peerErr != nil:
			case directErr == nil && wait > 0:
				askPeer.Reset(wait)
			default:
				peer = p.dialPeerAside(aside, runner, homes)
			}
		case result := <-peer:
			peer = nil
			if result.err == nil {
				return result.conn, nil
			}
			peerErr = result.err
		case <-giveUp.C:
			peerErr = errUndecided
		}
	}
	return nil, p.conclude(ctx, runner, directErr, peerErr)
}

// errFailedLately means that another attempt would only take the caller's time.
var errFailedLately = errors.New("neither this node nor its peers reached the runner a moment ago")

// dialAside connects to a runner directly and sends the outcome.
func (p *Pool) dialAside(ctx context.Context, runner reach.Runner) <-chan dialing {
	outcome := make(chan dialing, 1)
	go func() {
		conn, err := p.dial(ctx, runner)
		outcome <- dialing{conn: conn, err: err}
	}()
	return outcome
}

// dialPeerAside connects to a runner through a peer and sends the outcome.
func (p *Pool) dialPeerAside(ctx context.Context, runner reach.Runner, homes place.Homes) <-chan dialing {
	outcome := make(chan dialing, 1)
	go func() {
		conn, err := p.dialPeer(ctx, runner, homes)
		outcome <- dialing{conn: conn, err: err}
	}()
	return outcome
}

// keep keeps the connection of an attempt that is not needed now for the next call. One through a
// peer is closed if the direct path works.
func (p *Pool) keep(runner reach.Runner, pending <-chan dialing) {
	if pending == nil {
		return
	}
	go func() {
		result := <-pending
		if result.conn == nil {
			return
		}
		if _, broken := p.Reach.BrokenSince(runner.Name); result.conn.tunnel != nil && !broken {
			_ = result.conn.Close()
			return
		}
		p.returnUnused(runner.Name, result.conn)
	}()
}

// dial connects to a runner directly.
func (p *Pool) dial(ctx context.Context, runner reach.Runner) (*connection, error) {
	start := time.Now()
	conn, err := p.Dial(ctx, "tcp", runner.Address)
	took := time.Since(start)
	p.recordReach(ctx, runner, err, took)
	if p.ObserveConnect != nil && (err == nil || timedOut(err)) {
		p.ObserveConnect(runner.Name, took, err != nil)
	}
	if err != nil {
		return nil, fault.At(fault.CodeUnreachable, "connect", runner.Address, fault.NotDone, err)
	}
	p.Links.Dialed(link.Runner)
	if p.Wrap != nil {
		conn = p.Wrap(runner.Name, conn)
	}
	return newConnection(conn), nil
}

// recordReach records the outcome of a direct connection attempt and how long it took. One that its
// caller ended says nothing.
func (p *Pool) recordReach(ctx context.Context, runner reach.Runner, err error, took time.Duration) {
	switch {
	case runner.Name == "" || p.inconclusive(err, took):
	case err == nil:
		p.Reach.Connected(runner)
	case ctx.Err() == nil:
		p.Reach.Failed(runner, err)
	}
}

// inconclusive reports whether a connection attempt may have failed because this node is late.
func (p *Pool) inconclusive(err error, took time.Duration) bool {
	return timedOut(err) && took < p.Allowance.Get()
}

// timedOut reports whether an error is a timeout of the network.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// dialPeer connects to a runner through a peer in one of the homes. That peers of some regions do not
// reach the runner says nothing of the others.
func (p *Pool) dialPeer(ctx context.Context, runner reach.Runner, homes place.Homes) (*connection, error) {
	conn, err := p.Tunnels.Dial(ctx, runner.Name, runner.Address, homes)
	var unreached *tunnel.UnreachedError
	switch {
	case runner.Name == "":
	case err == nil:
		p.Reach.PeerConnected(runner)
	case errors.As(err, &unreached) && !homes.Restricted():
		p.Reach.PeersFailed(runner, unreached.Refused)
	}
	if err != nil {
		return nil, fault.At(fault.CodeUnreachable, "connect through a peer", runner.Address, fault.NotDone, err)
	}
	through := newConnection(conn)
	through.tunnel = conn
	return through, nil
}

// DialRunner opens a direct connection to a runner for a peer.
func (p *Pool) DialRunner(ctx context.Context, name, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, reach.Runner{Name: name, Address: address})
	if err != nil {
		return nil, err
	}
	return conn.Conn, nil
}
