package ingress

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"lilacvane/internal/inbound"
	"lilacvane/internal/overload"
)

// connection is a client's connection that remembers why reading from it failed, which the HTTP
// library does not report. When the context of a request ends, this tells whether the client closed
// the connection, it was reset, or this node closed it.
type connection struct {
	net.Conn
	failure atomic.Pointer[error]
	// start is the start of the first request, until that is read.
	start atomic.Pointer[overload.Start]
}

// NetConn returns the connection that this one wraps.
func (c *connection) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *connection) Close() error {
	c.start.Swap(nil).End()
	return c.Conn.Close()
}

// Read reads from the connection and keeps the first error other than a timeout.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.failure.CompareAndSwap(nil, &err)
	}
	return count, err
}

// setReset makes the connection of a request end with a reset instead of a close, also if this process
// ends, or undoes that. It is for answers that a close would complete.
func setReset(request context.Context, reset bool) error {
	conn, ok := request.Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}
	tcp, ok := inbound.TCP(conn)
	if !ok {
		return nil
	}
	if reset {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}

// listener wraps the connections that its gate accepts and its guard admits.
type listener struct {
	*overload.Gate
	guard *inbound.Guard
}

// Accept accepts and wraps a connection.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, start, err := l.Gate.Accept()
		if err != nil {
			return nil, err
		}
		guarded, ok := l.guard.Wrap(conn)
		if !ok {
			start.End()
			continue
		}
		accepted := &connection{Conn: guarded}
		accepted.start.Store(start)
		return accepted, nil
	}
}

// beginRequest returns the start of a request, which is that of its connection for the first one. It
// returns false if this node has no room for it.
func (s *Server) beginRequest(request context.Context) (*overload.Start, bool) {
	if conn, ok := request.Value(connectionKey{}).(*connection); ok {
		if start := conn.start.Swap(nil); start != nil {
			return start, true
		}
	}
	return s.monitor.Begin()
}

// disconnectError is the cancellation cause of a request whose client disconnected. It matches
// context.Canceled.
type disconnectError struct{ cause error }

// Error describes how the connection ended.
func (e *disconnectError) Error() string {
	if e.cause == nil {
		return "the client left"
	}
	return "the client's connection ended: " + e.cause.Error()
}

// Is makes the error match context.Canceled.
func (e *disconnectError) Is(target error) bool { return target == context.Canceled }

// Unwrap returns the error that ended the connection.
func (e *disconnectError) Unwrap() error { return e.cause }

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection stores a connection in the context of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// withDisconnectCause returns a request context whose cancellation cause tells how the client
// disconnected. release must be called when the request has ended.
func withDisconnectCause(request context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(request))
	stop := context.AfterFunc(request, func() {
		disconnected := &disconnectError{}
		if conn, ok := request.Value(connectionKey{}).(*connection); ok {
			if failure := conn.failure.Load(); failure != nil {
				disconnected.cause = *failure
			}
		}
		cancel(disconnected)
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
