// Package upstream exchanges requests and answers with runners over HTTP/1.1. It manages its own
// connections, so that a request is never sent a second time without the caller's decision, and an
// answer is never accepted that is not the request's own.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lilacvane/internal/answer"
	"lilacvane/internal/link"
	"lilacvane/internal/overload"
	"lilacvane/internal/reach"
	"lilacvane/internal/statement"
	"lilacvane/internal/tunnel"
)

const (
	// defaultIdle is how long a connection may stay idle when the runner gave no time of its own.
	defaultIdle = 20 * time.Second
	// maxIdlePerRunner bounds the idle connections to one runner, maxIdle those to all: there may
	// be hundreds of nodes and thousands of runners, and a runner takes some hundreds of
	// connections.
	maxIdlePerRunner = 8
	maxIdle          = 96
	// bufferSize is the size of the buffer for writing a request, in bytes.
	bufferSize = 4 << 10
	// keptRequests bounds the identifiers that a connection keeps: a request is sent again within
	// seconds, if at all.
	keptRequests = 32
)

// Pool keeps idle connections by runner. Its methods may be called concurrently.
type Pool struct {
	// Links counts connections; it may be nil, and is set before the pool is used.
	Links *link.Record
	// Statements receives the heads of all answers; it may be nil, and is set before the pool is
	// used.
	Statements *statement.Registry
	// Reach tracks the paths to runners, Tunnels connects to runners through peers. Both may be nil,
	// and are set before the pool is used.
	Reach   *reach.Tracker
	Tunnels *tunnel.Dialer
	// Others returns a few runners other than the named one, to tell a runner that refuses connections
	// from a path that does; it may be nil, and is set before the pool is used.
	Others func(runner string) []reach.Runner
	// ObserveConnect is called with the time that a direct connection attempt to a runner took that
	// succeeded or timed out; nil for none, set before the pool is used.
	ObserveConnect func(runner string, took time.Duration, timedOut bool)
	// Allowance returns how much longer than usual attempts may take because this node is late with its
	// own work: a shorter one says nothing of the runner or of the path to it. It is set before the pool
	// is used.
	Allowance overload.Allowance
	// Dial connects to runners; NewPool sets it to the dialer of link.Runner.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Wrap wraps each new connection to a runner; nil for none.
	Wrap func(runner string, conn net.Conn) net.Conn

	names HeaderNames
	trust *link.Trust
	// presenceSettle is how long the first connection of a check for presence must stay open.
	presenceSettle time.Duration

	mutex sync.Mutex
	idle  map[string][]*connection
	// idleCount counts the connections in idle.
	idleCount int
}

// connection is one connection to a runner, used for one request at a time.
type connection struct {
	net.Conn
	// tunnel is Conn if that leads through a peer; nil for a direct one.
	tunnel *tunnel.Conn
	reader *answer.Reader
	// served counts the answers read from it.
	served int
	// acquired is when it was last taken from the pool or dialed, idleSince when it last became
	// idle; zero for a new one.
	acquired  time.Time
	idleSince time.Time
	// idleUntil is when it may no longer be reused.
	idleUntil time.Time
	// requests are the identifiers of the last requests that were sent on it, at most keptRequests.
	requests []string
	// send bounds how long the bytes of a request may stay unacknowledged.
	send link.SendBound
}

// newConnection returns a connection that was just opened.
func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: answer.NewReader(conn), acquired: time.Now()}
}

// NewPool returns an empty pool.
func NewPool(names HeaderNames) *Pool {
	return &Pool{Dial: link.Runner.Dial, names: names, trust: link.NewTrust(time.Now), presenceSettle: presenceSettle, idle: make(map[string][]*connection)}
}

// acquire returns an idle connection that is still usable, or a new one.
func (p *Pool) acquire(ctx context.Context, call Call) (*connection, error) {
	if call.Fresh {
		return p.connect(ctx, call)
	}
	for {
		conn := p.popIdle(call)
		if conn == nil {
			return p.connect(ctx, call)
		}
		now := time.Now()
		reason, ended := p.unusable(conn, now, call)
		if !ended {
			conn.acquired = now
			return conn, nil
		}
		_ = conn.Close()
		p.Links.Drop(link.Runner, reason, 1)
		if reason == link.Unproved {
			// The others have been idle for longer. They are kept for calls that may be sent again.
			return p.connect(ctx, call)
		}
	}
}

// unusable reports whether an idle connection cannot be used for a call, and why. While the path to
// the runner is broken, a direct connection must have answered since; once it works, none through a
// peer is used.
func (p *Pool) unusable(conn *connection, now time.Time, call Call) (link.Reason, bool) {
	brokenSince, broken := p.Reach.BrokenSince(call.Runner)
	proved := call.Proved
	switch {
	case conn.tunnel != nil && !broken:
		return link.Spare, true
	case conn.tunnel == nil && broken && conn.idleSince.Before(brokenSince):
		return link.Distrusted, true
	case !now.Before(conn.idleUntil):
		return link.Expired, true
	case !quiescent(conn.Conn):
		return link.Ended, true
	case proved && p.trust.Suspects(conn.idleSince):
		return link.Distrusted, true
	default:
		return link.Unproved, proved && now.Sub(conn.idleSince) >= link.TrustedIdle
	}
}

// popIdle takes the connection that became idle last of those that a call may use; nil for none. No
// request uses one that has carried it before: a late answer to the earlier exchange bears the same
// identifier.
func (p *Pool) popIdle(call Call) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[call.Runner]
	for at := len(idle) - 1; at >= 0; at-- {
		if last := idle[at]; call.admits(last) && !last.hasCarried(call.RequestID) {
			p.setIdle(call.Runner, slices.Delete(idle, at, at+1))
			return last
		}
	}
	return nil
}

// admits reports whether a call may go the way that a connection leads: directly, or through a peer in its
// homes. The connection may have been opened for another call.
func (c Call) admits(conn *connection) bool {
	return conn.tunnel == nil || !c.Direct && c.Homes.Allows(conn.tunnel.Region)
}

// recordRequest records the identifier of a request that is about to be sent; it may be empty.
func (c *connection) recordRequest(id string) {
	if len(c.requests) == keptRequests {
		c.requests = slices.Delete(c.requests, 0, 1)
	}
	c.requests = append(c.requests, id)
}

// hasCarried reports whether the request with an identifier was sent on the connection before.
func (c *connection) hasCarried(id string) bool { return id != "" && slices.Contains(c.requests, id) }

// release keeps a connection idle for at most the time that the runner gave.
func (p *Pool) release(runner string, conn *connection, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	conn.idleSince = time.Now()
	conn.idleUntil = conn.idleSince.Add(idle)
	p.addIdle(runner, conn)
}

// returnUnused returns a connection to the pool that was acquired and not used.
func (p *Pool) returnUnused(runner string, conn *connection) {
	if conn.idleSince.IsZero() {
		p.release(runner, conn, defaultIdle)
		return
	}
	p.addIdle(runner, conn)
}

// addIdle adds a connection to the idle ones.
func (p *Pool) addIdle(runner string, conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[runner]) >= maxIdlePerRunner {
		_ = conn.Close()
		p.Links.Drop(link.Runner, link.Spare, 1)
		return
	}
	if p.idleCount >= maxIdle {
		p.evictOldest()
	}
	p.setIdle(runner, append(p.idle[runner], conn))
}

// setIdle sets a runner's idle connections. Its caller holds the lock.
func (p *Pool) setIdle(runner string, idle []*connection) {
	p.idleCount += len(idle) - len(p.idle[runner])
	if len(idle) == 0 {
		delete(p.idle, runner)
		return
	}
	p.idle[runner] = idle
}

// evictOldest makes room. Each runner's first connection has been idle longest, as the last one is
// reused first. Its caller holds the lock.
func (p *Pool) evictOldest() {
	oldest := ""
	for runner, idle := range p.idle {
		if oldest == "" || idle[0].idleSince.Before(p.idle[oldest][0].idleSince) {
			oldest = runner
		}
	}
	_ = p.idle[oldest][0].Close()
	p.setIdle(oldest, p.idle[oldest][1:])
	p.Links.Drop(link.Runner, link.Spare, 1)
}

// Forget closes the idle connections to runners that keep does not name.
func (p *Pool) Forget(keep func(runner string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for runner := range p.idle {
		if !keep(runner) {
			p.closeIdle(runner)
		}
	}
}

// quiescent reports whether an idle connection is open and has no bytes to read: any that arrived
// belong to no request.
func quiescent(conn net.Conn) bool {
	if buffered, ok := conn.(interface{ Buffered() int }); ok && buffered.Buffered() > 0 {
		return false
	}
	return socketQuiescent(conn)
}

// socketQuiescent reports whether a connection's socket is open and has no bytes to read. It may be
// called while the connection is read from: it takes neither bytes nor the error of the socket from the
// reader.
func socketQuiescent(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(descriptor uintptr) {
		socket := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
		ready, err := unix.Poll(socket, 0)
		for err == unix.EINTR {
			ready, err = unix.Poll(socket, 0)
		}
		quiet = err == nil && ready == 0
	})
	return err == nil && quiet
}
