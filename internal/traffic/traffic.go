// Package traffic opens the connections of a node and counts the bytes they
// move, so that the cost of control can be measured.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Counter counts bytes moved over sockets. The zero value is ready.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
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
