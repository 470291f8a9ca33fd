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
	// phases holds the phases of connections on which no request is being handled. closing is set once
	// no further requests are read from them.
	phases  map[net.Conn]phase
	closing bool
}

// phase is what a connection waits for while no request of it is being handled.
type phase uint8

const (
	// phaseNew and phaseIdle mean that no request was read since the connection was accepted, and since the
	// last answer.
	phaseNew phase = iota
	phaseIdle
	// phaseRead means that a request was read that has not reached the handler.
	phaseRead
)

// connKey is the context key of a request's connection.
type connKey struct{}

// New wraps a server that has a handler. The caller must not use the wrapped server any more.
func New(server *http.Server) *Server {
	s := &Server{http: server, served: make(chan struct{}), phases: make(map[net.Conn]phase)}
	handler, connContext, connState := server.Handler, server.ConnContext, server.ConnState
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
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		s.trackState(conn, state)
	}
	return s
}

// markRead records that a request of the connection has reached the handler. It reports whether its
// answer is the last one on the connection.
func (s *Server) markRead(conn net.Conn) (last bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.phases, conn)
	return s.stopping
}

// trackState updates the phase of a connection when its state changes.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.phases[conn] = phaseNew
	case http.StateIdle:
		s.phases[conn] = phaseIdle
	case http.StateActive:
		s.phases[conn] = phaseRead
		if s.closing {
			s.allowReads(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.phases, conn)
	}
}

// allowReads undoes endReads for a connection from which a request was read.
func (s *Server) allowReads(conn net.Conn) {
	var deadline time.Time
	if s.http.ReadTimeout > 0 {
		deadline = time.Now().Add(s.http.ReadTimeout)
	}
	// An error means that the connection is closed.
	_ = conn.SetReadDeadline(deadline)
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
		s.endReads(ctx)
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
	pollUntil(ctx, func() bool { return s.unreadCount() == 0 })
}

// endReads closes the connections from which no request was read, and waits until the requests that were read
// have reached the handler: the library closes connections without an answer if it reads a request after its
// own shutdown began. A read returns what has arrived or fails, so no request is read and dropped.
func (s *Server) endReads(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	pollUntil(ctx, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.closing = true
		for conn, p := range s.phases {
			if p != phaseRead {
				// The library may have set another deadline since the last time. An error means that the
				// connection is closed.
				_ = conn.SetReadDeadline(time.Unix(1, 0))
			}
		}
		return len(s.phases) == 0
	})
}

// pollUntil calls done each pollInterval until it returns true or ctx ends.
func pollUntil(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unreadCount returns the number of connections whose newest request has not reached the handler, or that
// have not sent one yet.
func (s *Server) unreadCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, p := range s.phases {
		if p != phaseIdle {
			count++
		}
	}
	return count
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
