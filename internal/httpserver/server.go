// Package httpserver stops HTTP servers without dropping requests that they have read. The
// standard library's Shutdown closes a connection without an answer if its first request is
// read after the call.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequestLimit is how long Shutdown waits for the first requests of connections that
	// were accepted before it: a client sends one as soon as its connection is up.
	firstRequestLimit = 500 * time.Millisecond
	// pollInterval is the time between two looks whether they have come.
	pollInterval = 5 * time.Millisecond
)

// Server is an HTTP server. Its methods may be called concurrently.
type Server struct {
	http *http.Server

	mutex    sync.Mutex
	listener net.Listener
	// served is closed once nothing is accepted any more.
	served   chan struct{}
	stopping bool
	// unread are the connections whose newest request has not reached the handler, or that have
	// sent none yet.
	unread map[net.Conn]bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// New takes over a server that has a handler. It is not to be used by itself any more.
func New(server *http.Server) *Server {
	s := &Server{http: server, served: make(chan struct{}), unread: make(map[net.Conn]bool)}
	handler, connContext := server.Handler, server.ConnContext
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && s.begin(conn) {
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
	server.ConnState = s.follow
	return s
}

// begin notes that a request of the connection has reached the handler, and reports whether its
// answer is the last one there.
func (s *Server) begin(conn net.Conn) (last bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.unread, conn)
	return s.stopping
}

// follow is told of the states of connections.
func (s *Server) follow(conn net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.unread[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.unread, conn)
	}
}

// ServeHTTP hands a request to the handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.Handler.ServeHTTP(w, r) }

// Serve answers requests from the listener until Shutdown or Close, after which it returns
// http.ErrServerClosed. It is called once.
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

// Shutdown closes the listener, then answers what comes first on the connections that were
// accepted before, for firstRequestLimit, and waits for the requests under way until ctx ends.
// Its error is that of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	s.stopping = true
	listener := s.listener
	s.mutex.Unlock()
	if listener != nil {
		// An error says that it is closed already.
		_ = listener.Close()
		s.awaitFirstRequests(ctx)
	}
	return s.http.Shutdown(ctx)
}

// awaitFirstRequests waits until a request was read from each connection, at most for
// firstRequestLimit.
func (s *Server) awaitFirstRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstRequestLimit)
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

// Close ends the server and its connections at once.
func (s *Server) Close() error { return s.http.Close() }
