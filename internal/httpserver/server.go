// Package httpserver shuts down HTTP servers without dropping requests that they have read. The
// standard library's Shutdown closes a connection without an answer if its first request is read
// after the call.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequestTimeout is how long Shutdown waits for the first requests of connections that
	// were accepted before it. A client sends one as soon as its connection is established.
	firstRequestTimeout = 500 * time.Millisecond
	// pollInterval is the time between two checks for first requests.
	pollInterval = 5 * time.Millisecond
)

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	http *http.Server

	mutex    sync.Mutex
	listener net.Listener
	// served is closed once no more connections are accepted.
	served   chan struct{}
	stopping bool
	// unread holds the connections whose newest request has not reached the handler, or that have
	// not sent one yet.
	unread map[net.Conn]bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New wraps a server that has a handler. The caller must not use the wrapped server any more.
func New(server *http.Server) *Server {
	s := &Server{http: server, served: make(chan struct{}), unread: make(map[net.Conn]bool)}
	handler, connContext := server.Handler, server.ConnContext
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && s.markRead(conn) {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = s.trackState
	return s
}

// markRead records that a request of the connection has reached the handler. It reports whether its
// answer is the last one on the connection.
func (s *Server) markRead(conn net.Conn) (last bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.unread, conn)
	return s.stopping
}

// trackState updates the unread connections when the state of one changes.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.unread[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.unread, conn)
	}
}

// ServeHTTP passes a request to the handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.Handler.ServeHTTP(w, r) }

// Serve serves requests from the listener until Shutdown or Close, and then returns
// http.ErrServerClosed. It must be called once only.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	stopping := s.stopping
	s.mutex.Unlock()
	defer close(s.served)
	if stopping {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	err := s.http.Serve(listener)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listener, waits up to firstRequestTimeout for the first requests of
// connections that were accepted before, and then for active requests until ctx ends, in which case
// it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	s.stopping = true
	listener := s.listener
	s.mutex.Unlock()
	if listener != nil {
		// An error means that it is closed already.
		_ = listener.Close()
		s.awaitFirstRequests(ctx)
	}
	return s.http.Shutdown(ctx)
}

// awaitFirstRequests waits until a request was read from each connection, at most for
// firstRequestTimeout.
func (s *Server) awaitFirstRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstRequestTimeout)
	defer cancel()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.unreadCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) unreadCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.unread)
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
