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
)

const (
	dialTimeout = 350 * time.Millisecond
	// unacknowledgedLimit ends a connection whose bytes the peer's machine has
	// not acknowledged for so long.
	unacknowledgedLimit = 1200 * time.Millisecond
	// defaultIdle is how long a connection may rest when the runner named no
	// time of its own.
	defaultIdle = 20 * time.Second
	// maximumIdlePerRunner bounds resting connections to one runner.
	maximumIdlePerRunner = 8
	bufferSize           = 4 << 10
)

// Pool keeps resting connections by runner. Its methods may be called
// concurrently.
type Pool struct {
	// Wrap stands around each new connection to a runner; not set for none.
	Wrap func(runner string, conn net.Conn) net.Conn

	names Names

	mutex sync.Mutex
	idle  map[string][]*connection
}

// connection is one connection to a runner, used for one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// served counts the answers read from it.
	served int
	// idleUntil is when it may no longer be taken up again.
	idleUntil time.Time
}

// NewPool returns an empty pool.
func NewPool(names Names) *Pool {
	return &Pool{names: names, idle: make(map[string][]*connection)}
}

// take returns a resting connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, runner, address string) (*connection, error) {
	for {
		resting := p.pop(runner)
		if resting == nil {
			return p.dial(ctx, runner, address)
		}
		if time.Now().Before(resting.idleUntil) && quiet(resting.Conn) {
			return resting, nil
		}
		_ = resting.Close()
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
	p.idle[runner] = resting[:len(resting)-1]
	return last
}

// put lays a connection to rest for at most the time the runner named.
func (p *Pool) put(runner string, conn *connection, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	conn.idleUntil = time.Now().Add(idle)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[runner]) >= maximumIdlePerRunner {
		_ = conn.Close()
		return
	}
	p.idle[runner] = append(p.idle[runner], conn)
}

// Forget closes the resting connections to runners that keep does not name.
func (p *Pool) Forget(keep func(runner string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for runner, resting := range p.idle {
		if keep(runner) {
			continue
		}
		for _, conn := range resting {
			_ = conn.Close()
		}
		delete(p.idle, runner)
	}
}

func (p *Pool) dial(ctx context.Context, runner, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: limitUnacknowledged, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.At(fault.CodeUnreachable, "connect", address, fault.NotDone, err)
	}
	if p.Wrap != nil {
		conn = p.Wrap(runner, conn)
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}, nil
}

// tcpUserTimeout is the option's number on Linux.
const tcpUserTimeout = 0x12

func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// A kernel without the option only notices a lost peer later.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit.Milliseconds()))
	})
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
