// Package ingress is the HTTP server for clients of services. It reads requests and passes them to
// the dispatcher.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/body"
	"lilacvane/internal/config"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/httpserver"
	"lilacvane/internal/overload"
	"lilacvane/internal/upstream"
)

const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 8 << 20
)

// Server serves client requests.
type Server struct {
	headers       upstream.HeaderNames
	dispatcher    *dispatch.Dispatcher
	configuration func() *config.Configuration
	log           logr.Logger
	http          *httpserver.Server
	monitor       *overload.Monitor

	active atomic.Int64
}

// New returns a server that is not serving yet.
func New(headers upstream.HeaderNames, dispatcher *dispatch.Dispatcher, monitor *overload.Monitor, log logr.Logger) *Server {
	s := &Server{headers: headers, dispatcher: dispatcher, configuration: dispatcher.Configuration, monitor: monitor, log: log}
	s.http = httpserver.New(&http.Server{
		Handler: s, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: defaultHeaderBytes, DisableGeneralOptionsHandler: true, ConnContext: withConnection,
	})
	return s
}

// Serve serves requests from the listener until Shutdown. While this node has no room for more
// requests, the listener is closed, and then opened again by open.
func (s *Server) Serve(l net.Listener, open overload.Open) error {
	err := s.http.Serve(listener{overload.NewGate(l, open, s.monitor, s.log)})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections, waits for first requests on new ones and for active
// requests until ctx ends, and then aborts the rest.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Info("requests aborted at end of shutdown", "active", s.active.Load())
		_ = s.http.Close()
	}
}

// Active returns the number of active requests.
func (s *Server) Active() int64 { return s.active.Load() }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	start, ok := s.beginRequest(r.Context())
	if !ok {
		s.refuse(w, r)
		return
	}
	defer start.End()
	if s.dispatcher.Stop.Stopping() {
		w.Header().Set("Connection", "close")
	}
	request, err := s.read(w, r)
	if err != nil {
		s.reject(w, fault.From(err, "read request"))
		return
	}
	request.Start = start
	ctx, release := withDisconnectCause(r.Context())
	defer release()
	// Without chunks, only a reset shows that an answer is incomplete. With them, a close leaves the
	// client all that was sent.
	unchunked := !r.ProtoAtLeast(1, 1)
	if unchunked {
		s.setReset(r, true)
	}
	outcome := s.dispatcher.Serve(ctx, w, request)
	if outcome.Broken() || outcome.Result == dispatch.ResultCanceled {
		panic(http.ErrAbortHandler)
	}
	if unchunked {
		s.setReset(r, false)
	}
}

// setReset calls setReset for the connection of a request.
func (s *Server) setReset(r *http.Request, reset bool) {
	if err := setReset(r.Context(), reset); err != nil {
		s.log.Info("end of connection not changed", "step", "serve request", "peer", r.RemoteAddr, "error", err.Error())
	}
}

// refuse refuses a request for which there is no room. Its body is not used, and its connection closes,
// so that the client turns to another node.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	s.dispatcher.RefuseOverloaded(w, s.newRequest(r), s.monitor.Load())
}

// newRequest returns a request without its body and what its headers describe.
func (s *Server) newRequest(r *http.Request) *dispatch.Request {
	return &dispatch.Request{
		ID: r.Header.Get(s.headers.RequestID), Method: r.Method, Target: r.RequestURI, Path: r.URL.EscapedPath(), Host: hostname(r.Host),
		Arrived: time.Now(),
	}
}

// read reads a whole request.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*dispatch.Request, error) {
	request := s.newRequest(r)
	if request.ID == "" {
		return nil, fault.New(fault.CodeInvalid, "read request", "header %s is missing", s.headers.RequestID)
	}
	if err := parseHeaders(r.Header, s.headers, request); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.bodyLimit()))
	if err != nil {
		return nil, bodyError(err)
	}
	request.Body, request.Read = body.New(content), time.Now()
	dispatch.StripConnectionHeaders(r.Header)
	for _, name := range s.headers.Reserved {
		r.Header.Del(name)
	}
	request.Header = r.Header
	return request, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.CodeTooLarge, "read request", "body is larger than %d bytes", tooLarge.Limit)
	}
	return fault.New(fault.CodeInvalid, "read request", "body: %v", err)
}

func (s *Server) bodyLimit() int64 {
	if configuration := s.configuration(); configuration != nil && configuration.Limits.MaximumBodyBytes > 0 {
		return configuration.Limits.MaximumBodyBytes
	}
	return defaultBodyBytes
}

func (s *Server) reject(w http.ResponseWriter, problem *fault.Error) {
	s.log.Info("request rejected", "step", problem.Step, "error", problem.Error())
	http.Error(w, problem.Error(), fault.Status(problem.Code))
}

// hostname strips the port from a Host header.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
