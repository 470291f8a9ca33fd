// Package traffic opens the connections of a node and counts the bytes they
// move, so that the cost of control can be measured.
package traffic

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Counter counts bytes moved over sockets, and messages by kind. The zero value
// is ready.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64

	mutex sync.Mutex
	kinds map[string]Kind
}

// Kind counts the messages of one kind and the bytes of their content, without
// headers.
type Kind struct {
	Messages int64
	Bytes    int64
}

// Note counts one message of a kind.
func (c *Counter) Note(kind string, bytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.kinds == nil {
		c.kinds = make(map[string]Kind)
	}
	counted := c.kinds[kind]
	counted.Messages++
	counted.Bytes += int64(bytes)
	c.kinds[kind] = counted
}

// Kinds returns the counts by kind.
func (c *Counter) Kinds() map[string]Kind {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.kinds)
}

// DialFunc opens a connection; it is what net/http's Transport takes.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function whose connections go out from local, if that is not
// nil, and count in counter.
func Dialer(local net.IP, timeout time.Duration, counter *Counter) DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	if local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: connection, counter: counter}, nil
	}
}

// Listen wraps a listener so that its connections count in counter.
func Listen(listener net.Listener, counter *Counter) net.Listener {
	return &countingListener{Listener: listener, counter: counter}
}

type countingListener struct {
	net.Listener
	counter *Counter
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: connection, counter: l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *Counter
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.counter.Sent.Add(int64(n))
	return n, err
}
