// Package upstream exchanges requests and answers with runners over HTTP/1.1. It
// holds its own connections, so that a request is never sent a second time
// without the caller's decision, and never believes an answer that is not the
// request's own.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/link"
	"lilacvane/internal/statement"
)

const (
	// defaultIdle is how long a connection may rest when the runner named no
	// time of its own.
	defaultIdle = 20 * time.Second
	// maximumIdlePerRunner bounds resting connections to one runner, maximumIdle those
	// to all: there may be hundreds of nodes and thousands of runners, and a runner
	// takes some hundreds of connections.
	maximumIdlePerRunner = 8
	maximumIdle          = 96
	bufferSize           = 4 << 10
)

// Pool keeps resting connections by runner. Its methods may be called
// concurrently.
type Pool struct {
	// Links counts connections; it may be nil, and is set before the pool is used.
	Links *link.Record
	// Statements hears the heads of all answers; it may be nil, and is set before the pool is
	// used.
	Statements *statement.Book
	// Wrap stands around each new connection to a runner; not set for none.
	Wrap func(runner string, conn net.Conn) net.Conn

	names Names
	trust *link.Trust

	mutex sync.Mutex
	idle  map[string][]*connection
	// resting counts the connections in idle.
	resting int
}

// connection is one connection to a runner, used for one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// served counts the answers read from it.
	served int
	// taken is when it was taken up, restedSince when it was laid to rest last; zero
	// for a new one.
	taken       time.Time
	restedSince time.Time
	// idleUntil is when it may no longer be taken up again.
	idleUntil time.Time
	// waiting fires once the bytes of a request must be out; patient is set when it
	// did during the last exchange.
	waiting *time.Timer
	patient bool
}

// NewPool returns an empty pool.
func NewPool(names Names) *Pool {
	return &Pool{names: names, trust: link.NewTrust(time.Now), idle: make(map[string][]*connection)}
}

// take returns a resting connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, call Call) (*connection, error) {
	if call.Fresh {
		return p.dial(ctx, call.Runner, call.Address)
	}
	for {
		resting := p.pop(call.Runner)
		if resting == nil {
			return p.dial(ctx, call.Runner, call.Address)
		}
		now := time.Now()
		reason, ended := p.restingEnd(resting, now, call.Proved)
		if !ended {
			resting.taken = now
			return resting, nil
		}
		_ = resting.Close()
		p.Links.Drop(link.Runner, reason, 1)
		if reason == link.Unproved {
			// The others rested for longer. They serve calls that may be sent again.
			return p.dial(ctx, call.Runner, call.Address)
		}
	}
}

// restingEnd is why a connection that rested cannot be used again, if so; proved is set for
// a call that asks for one that is known to work.
func (p *Pool) restingEnd(resting *connection, now time.Time, proved bool) (link.Reason, bool) {
	switch {
	case !now.Before(resting.idleUntil):
		return link.Expired, true
	case !quiet(resting.Conn):
		return link.Ended, true
	case proved && p.trust.Doubts(resting.restedSince):
		return link.Distrusted, true
	default:
		return link.Unproved, proved && now.Sub(resting.restedSince) >= link.ProvedFor
	}
}

func (p *Pool) pop(runner string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[runner]
	if len(resting) == 0 {
		return nil
	}
	last := resting[len(resting)-1]
	p.keep(runner, resting[:len(resting)-1])
	return last
}

// put lays a connection to rest for at most the time the runner named.
func (p *Pool) put(runner string, conn *connection, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	conn.restedSince = time.Now()
	conn.idleUntil = conn.restedSince.Add(idle)
	p.lay(runner, conn)
}

// putBack lays a connection to rest that was taken and not used.
func (p *Pool) putBack(runner string, conn *connection) {
	if conn.restedSince.IsZero() {
		p.put(runner, conn, defaultIdle)
		return
	}
	p.lay(runner, conn)
}

// lay adds a connection to those that rest.
func (p *Pool) lay(runner string, conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[runner]) >= maximumIdlePerRunner {
		_ = conn.Close()
		p.Links.Drop(link.Runner, link.Spare, 1)
		return
	}
	if p.resting >= maximumIdle {
		p.dropOldest()
	}
	p.keep(runner, append(p.idle[runner], conn))
}

// keep sets a runner's resting connections. Its caller holds the lock.
func (p *Pool) keep(runner string, resting []*connection) {
	p.resting += len(resting) - len(p.idle[runner])
	if len(resting) == 0 {
		delete(p.idle, runner)
		return
	}
	p.idle[runner] = resting
}

// dropOldest makes room. Each runner's first connection has rested longest, as the
// last one is taken up first. Its caller holds the lock.
func (p *Pool) dropOldest() {
	oldest := ""
	for runner, resting := range p.idle {
		if oldest == "" || resting[0].restedSince.Before(p.idle[oldest][0].restedSince) {
			oldest = runner
		}
	}
	_ = p.idle[oldest][0].Close()
	p.keep(oldest, p.idle[oldest][1:])
	p.Links.Drop(link.Runner, link.Spare, 1)
}

// Forget closes the resting connections to runners that keep does not name.
func (p *Pool) Forget(keep func(runner string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for runner := range p.idle {
		if !keep(runner) {
			p.closeResting(runner)
		}
	}
}

func (p *Pool) dial(ctx context.Context, runner, address string) (*connection, error) {
	conn, err := link.Runner.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.At(fault.CodeUnreachable, "connect", address, fault.NotDone, err)
	}
	p.Links.Dialed(link.Runner)
	if p.Wrap != nil {
		conn = p.Wrap(runner, conn)
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, bufferSize), taken: time.Now()}, nil
}

// Connect makes a connection to an address and closes it, to find out whether anybody
// listens there.
func (p *Pool) Connect(ctx context.Context, address string) error {
	conn, err := p.dial(ctx, "", address)
	if err != nil {
		return err
	}
	if err := conn.Close(); err != nil {
		return fault.At(fault.CodeUnreachable, "close connection", address, fault.NotDone, err)
	}
	return nil
}

// quiet reports whether a resting connection is open and holds no bytes: any
// that arrived belong to no request.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
	})
	return err == nil && open
}
