package overload

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// roomCheckInterval is how often a closed Gate looks for room if nothing signals it.
	roomCheckInterval = 10 * time.Millisecond
	// reopenBelow is the part of the limit below which the number of starting requests must be until a
	// closed Gate opens again. It is small because each time the Gate closes, the connections that are
	// being opened are lost.
	reopenBelow = 0.125
	// queueWait is how long Accept looks for a connection in the queue of the socket.
	queueWait = time.Millisecond
	// maxDrain is the longest time for which a Gate stays closed while there is room.
	maxDrain = 400 * time.Millisecond
	// slowPart is the part of the limit below which it opens after slowAfter: some requests start slowly,
	// as their clients send slowly.
	slowPart  = 0.5
	slowAfter = 400 * time.Millisecond
)

// Open opens a listening socket at an address.
type Open func(address string) (net.Listener, error)

// Gate accepts connections as long as the monitor admits them. Otherwise it closes its socket, so that
// the kernel refuses connections: one that is accepted costs processor time, and its client sends a
// whole request over the link before it can be told. Clients then turn to other nodes at once.
type Gate struct {
	monitor *Monitor
	open    Open
	log     logr.Logger
	address net.Addr
	closing chan struct{}

	mutex sync.Mutex
	// listener is the open socket; nil while there is none, since shutAt.
	listener net.Listener
	shutAt   time.Time
	closed   bool
	// queued are connections that waited as the socket was closed. Only the caller of Accept uses it.
	queued []net.Conn
}

// NewGate returns a gate with an open socket, which open can open again.
func NewGate(listener net.Listener, open Open, monitor *Monitor, log logr.Logger) *Gate {
	return &Gate{monitor: monitor, open: open, log: log, address: listener.Addr(), closing: make(chan struct{}), listener: listener}
}

// Accept waits for a connection for which there is room, and returns it with the start of its first
// request. It must not be called concurrently.
func (g *Gate) Accept() (net.Conn, *Start, error) {
	conn, err := g.accept()
	if err != nil {
		return nil, nil, err
	}
	return conn, g.monitor.beginAccepted(), nil
}

// accept waits for a connection for which there is room.
func (g *Gate) accept() (net.Conn, error) {
	if len(g.queued) == 0 && !g.monitor.room(1) {
		if err := g.shut(); err != nil {
			return nil, err
		}
	}
	if len(g.queued) > 0 {
		return g.takeQueued()
	}
	listener, err := g.awaitOpen()
	if err != nil {
		return nil, err
	}
	return listener.Accept()
}

// takeQueued returns a connection that was queued as the socket was closed, once there is room.
func (g *Gate) takeQueued() (net.Conn, error) {
	for !g.monitor.room(1) {
		if err := g.awaitFreed(); err != nil {
			break
		}
	}
	conn := g.queued[0]
	g.queued = g.queued[1:]
	return conn, nil
}

// awaitFreed waits until a request has started, at most for roomCheckInterval.
func (g *Gate) awaitFreed() error {
	select {
	case <-g.closing:
		return net.ErrClosed
	case <-g.monitor.freed:
	case <-time.After(roomCheckInterval):
	}
	return nil
}

// awaitOpen returns the socket. If it is closed, it is opened once enough requests have started.
func (g *Gate) awaitOpen() (net.Listener, error) {
	if listener, err := g.current(); listener != nil || err != nil {
		return listener, err
	}
	closed := time.Now()
	// What already waits to be read or sent takes as long as the delay, and nothing is to be added.
	drain := min(g.monitor.Load().Delay(), maxDrain)
	for {
		if err := g.awaitFreed(); err != nil {
			return nil, err
		}
		if !reopens(time.Since(closed), drain, g.monitor.room) {
			continue
		}
		listener, err := g.reopen()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return listener, err
		}
		g.log.Error(err, "socket not opened again", "step", "listen", "peer", g.address.String())
	}
}

// reopens reports whether a socket opens that was closed for some time and is to be closed for drain at
// least. room reports whether fewer requests start than a part of the limit.
func reopens(elapsed, drain time.Duration, room func(part float64) bool) bool {
	part := reopenBelow
	if elapsed > slowAfter {
		part = slowPart
	}
	return elapsed >= drain && room(part)
}

// current returns the socket, nil if it is closed for now.
func (g *Gate) current() (net.Listener, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return nil, net.ErrClosed
	}
	return g.listener, nil
}

// shut closes the socket and keeps the connections that wait in its queue, at most as many as may
// start: their clients have sent their requests already. The kernel resets the others.
func (g *Gate) shut() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return net.ErrClosed
	}
	if g.listener == nil {
		return nil
	}
	g.queue()
	if err := g.listener.Close(); err != nil {
		g.log.Error(err, "socket not closed", "step", "listen", "peer", g.address.String())
	}
	g.listener, g.shutAt = nil, time.Now()
	g.monitor.counters.shuts.Add(1)
	return nil
}

// queue accepts the connections that wait in the socket's queue. mutex must be held.
func (g *Gate) queue() {
	bounded, ok := g.listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for range g.monitor.Load().Limit {
		if err := bounded.SetDeadline(time.Now().Add(queueWait)); err != nil {
			g.log.Error(err, "queue not read", "step", "accept", "peer", g.address.String())
			return
		}
		conn, err := g.listener.Accept()
		if err != nil {
			// The queue is empty.
			return
		}
		g.queued = append(g.queued, conn)
	}
}

// reopen opens the socket again.
func (g *Gate) reopen() (net.Listener, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return nil, net.ErrClosed
	}
	listener, err := g.open(g.address.String())
	if err != nil {
		return nil, err
	}
	g.listener = listener
	g.monitor.counters.shut.Add(int64(time.Since(g.shutAt)))
	return listener, nil
}

// Close closes the socket for good.
func (g *Gate) Close() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return net.ErrClosed
	}
	g.closed = true
	close(g.closing)
	if g.listener == nil {
		return nil
	}
	return g.listener.Close()
}

// Addr returns the address that the gate listens on.
func (g *Gate) Addr() net.Addr { return g.address }
