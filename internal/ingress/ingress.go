// Package ingress is the HTTP server for clients of services. It reads requests and passes them to
// the dispatcher.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"lilacvane/internal/config"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/httpserver"
	"lilacvane/internal/inbound"
	"lilacvane/internal/overload"
	"lilacvane/internal/upstream"
)

const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 8 << 20
	// rejectionInterval is the least time between two log lines about rejected requests.
	rejectionInterval = time.Second
)

// Server serves client requests.
type Server struct {
	headers       upstream.HeaderNames
	dispatcher    *dispatch.Dispatcher
	configuration func() *config.Configuration
	log           logr.Logger
	http          *httpserver.Server
	monitor       *overload.Monitor
	guard         *inbound.Guard

	active atomic.Int64
	// rejected counts requests with errors of their clients, rejections bounds the log lines about them.
	rejected   atomic.Int64
	rejections rate.Sometimes
}

// New returns a server that is not serving yet.
func New(headers upstream.HeaderNames, dispatcher *dispatch.Dispatcher, monitor *overload.Monitor, guard *inbound.Guard, log logr.Logger) *Server {
	s := &Server{
		headers: headers, dispatcher: dispatcher, configuration: dispatcher.Configuration, monitor: monitor, guard: guard, log: log,
		rejections: rate.Sometimes{Interval: rejectionInterval},
	}
	s.http = httpserver.New(guard.Attach(&http.Server{
		Handler: s, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: defaultHeaderBytes, DisableGeneralOptionsHandler: true, ConnContext: withConnection,
	}, s.refuseUnread))
	return s
}

// Serve serves requests from the listener until Shutdown. While this node has no room for more
// requests, the listener is closed, and then opened again by open.
func (s *Server) Serve(l net.Listener, open overload.Open) error {
	err := s.http.Serve(listener{Gate: overload.NewGate(l, open, s.monitor, s.log), guard: s.guard})
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
	request, err := s.read(r)
	if err != nil {
		problem := fault.From(err, "read request")
		inbound.Refuse(w, r, func(w http.ResponseWriter) { s.reject(w, r, problem) })
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
	inbound.Refuse(w, r, func(w http.ResponseWriter) { s.dispatcher.RefuseOverloaded(w, s.newRequest(r), s.monitor.Load()) })
}

// refuseUnread refuses a request for which there is no memory.
func (s *Server) refuseUnread(w http.ResponseWriter, r *http.Request, problem *fault.Error) {
	s.dispatcher.RefuseUnread(w, s.newRequest(r), problem)
}

// newRequest returns a request without its body and what its headers describe.
func (s *Server) newRequest(r *http.Request) *dispatch.Request {
	return &dispatch.Request{
		ID: r.Header.Get(s.headers.RequestID), Method: r.Method, Target: r.RequestURI, Path: r.URL.EscapedPath(), Host: hostname(r.Host),
		Arrived: time.Now(),
	}
}

// read reads a whole request.
func (s *Server) read(r *http.Request) (*dispatch.Request, error) {
	request := s.newRequest(r)
	if request.ID == "" {
		return nil, fault.New(fault.CodeInvalid, "read request", "header %s is missing", s.headers.RequestID)
	}
	if err := parseHeaders(r.Header, s.headers, request); err != nil {
		return nil, err
	}
	content, err := inbound.ReadBody(r, s.bodyLimit(), 1)
	if err != nil {
		return nil, err
	}
	request.Body, request.Read = content, time.Now()
	dispatch.StripConnectionHeaders(r.Header)
	for _, name := range s.headers.Reserved {
		r.Header.Del(name)
	}
	request.Header = r.Header
	return request, nil
}

func (s *Server) bodyLimit() int64 {
	if configuration := s.configuration(); configuration != nil && configuration.Limits.MaximumBodyBytes > 0 {
		return configuration.Limits.MaximumBodyBytes
	}
	return defaultBodyBytes
}

// reject answers a request that was not read whole.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, problem *fault.Error) {
	if problem.Code == fault.CodeOverloaded {
		s.refuseUnread(w, r, problem)
		return
	}
	rejected := s.rejected.Add(1)
	s.rejections.Do(func() {
		s.log.Info("requests rejected", "step", problem.Step, "peer", r.RemoteAddr, "error", problem.Error(), "total", rejected)
	})
	http.Error(w, problem.Error(), fault.Status(problem.Code))
}

// hostname strips the port from a Host header.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
