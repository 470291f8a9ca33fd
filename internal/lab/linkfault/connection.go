package linkfault

import (
	"net"
	"sync"
	"syscall"
	"time"

	"lilacvane/internal/link"
)

// connection is an open connection to a runner.
type connection struct {
	net.Conn
	links   *Links
	address string
	closed  chan struct{}
	once    sync.Once

	mutex sync.Mutex
	// ended is the error of all further calls; nil while the connection lives.
	ended error
	// held are the bytes written while the path was lost, since heldSince.
	held      []byte
	heldSince time.Time
}

// wrap subjects a connection to the faults on the path to its address.
func (l *Links) wrap(conn net.Conn, address string) net.Conn {
	c := &connection{Conn: conn, links: l, address: address, closed: make(chan struct{})}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[c] = true
	return c
}

// SyscallConn returns the raw connection.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Close closes the connection. Bytes that a lost path held up are lost.
func (c *connection) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.links.mutex.Lock()
	delete(c.links.open, c)
	c.links.mutex.Unlock()
	return c.Conn.Close()
}

// reset ends the connection as a packet with the reset flag does.
func (c *connection) reset() { c.fail(syscall.ECONNRESET) }

// fail ends the connection with an error, at both ends.
func (c *connection) fail(cause error) {
	c.mutex.Lock()
	c.ended = &net.OpError{Op: "read", Net: "tcp", Err: cause}
	c.mutex.Unlock()
	conn := c.Conn
	if dialed, ok := conn.(*link.Conn); ok {
		conn = dialed.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// failure returns the error with which the connection ended.
func (c *connection) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ended
}

// Read reads what arrives; what arrives while the path is lost is held until it works again.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.links.received.pass(count)
	for {
		if ended := c.failure(); ended != nil {
			return 0, ended
		}
		mode, changed := c.links.mode(c.address)
		if mode != Hang {
			return count, err
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-changed:
		}
	}
}

// Write writes content, or holds it while the path is lost.
func (c *connection) Write(content []byte) (int, error) {
	if ended := c.failure(); ended != nil {
		return 0, ended
	}
	if mode, changed := c.links.mode(c.address); mode == Hang {
		c.hold(content, changed)
		return len(content), nil
	}
	c.links.sent.pass(len(content))
	return c.Conn.Write(content)
}

// hold keeps content until the path works again. Like TCP, it ends the connection if that
// takes longer than sent bytes may stay unacknowledged.
func (c *connection) hold(content []byte, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held = append(c.held, content...)
	if !c.heldSince.IsZero() {
		return
	}
	c.heldSince = time.Now()
	go c.release(changed)
}

// release sends what is held once the path works again.
func (c *connection) release(changed <-chan struct{}) {
	timeout := time.After(link.RunnerAckTimeout)
	for {
		select {
		case <-c.closed:
			return
		case <-timeout:
			c.fail(syscall.ETIMEDOUT)
			return
		case <-changed:
		}
		var mode Mode
		if mode, changed = c.links.mode(c.address); mode == Hang {
			continue
		}
		c.mutex.Lock()
		held := c.held
		c.held, c.heldSince = nil, time.Time{}
		c.mutex.Unlock()
		if _, err := c.Conn.Write(held); err != nil {
			c.fail(err)
		}
		return
	}
}
