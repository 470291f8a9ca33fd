package gateway

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/httpserver"
	"lilacvane/internal/inbound"
	"lilacvane/internal/overload"
	"lilacvane/internal/upstream"
)

const (
	headerTimeout      = 10 * time.Second
	bodyTimeout        = 60 * time.Second
	idleTimeout        = 120 * time.Second
	retryAfterNotReady = 2 * time.Second
	// retryAfterNoReplica is sent for a model without replicas, until operators allow one again.
	retryAfterNoReplica = time.Minute
	pathChat            = "/v1/chat/completions"
	pathComplete        = "/v1/completions"
	pathModels          = "/v1/models"
	// releaseWait is how long a refusal waits until the call's key is given back; after it, the caller is told to come
	// back after retryAfterRelease.
	releaseWait       = 300 * time.Millisecond
	retryAfterRelease = time.Second
	// maxAttempts is the number of runners that a repeatable call is sent to.
	maxAttempts = 3
	// startObjective is the latency objective for the first part of a response, pauseObjective
	// that between two parts.
	startObjective = 10 * time.Second
	pauseObjective = 2 * time.Second
)

// Claims ensures that at most one attempt runs under an idempotency key.
type Claims interface {
	// Take claims a key for an attempt.
	Take(ctx context.Context, key, attempt string) error
	// Release gives back the key of an attempt that is not made. It reports whether the key is free; if ctx ends
	// before, it is given back later.
	Release(ctx context.Context, key, attempt string) bool
}

// Options are the dependencies of a Server.
type Options struct {
	Node          string
	Headers       upstream.HeaderNames
	Dispatcher    *dispatch.Dispatcher
	Configuration func() *config.Configuration
	Claims        Claims
	// Guard bounds the memory of calls.
	Guard *inbound.Guard
	// Load measures and bounds the work of this node.
	Load *overload.Monitor
	// Accept returns an error while the node takes no new requests.
	Accept func() error
}

// Server serves the callers' API of one node. It uses only net/http, because the larger library
// costs a node more memory than all of its own state.
type Server struct {
	Options
	http *httpserver.Server
}

// New returns a server that is not serving yet.
func New(options Options) *Server {
	s := &Server{Options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathChat, s.handleCompletion)
	mux.HandleFunc("POST "+pathComplete, s.handleCompletion)
	mux.HandleFunc("GET "+pathModels, s.handleModels)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.reject(w, r, fault.New(fault.CodeNotFound, stepParse, "no such path or method: %s %s", r.Method, r.URL.Path))
	})
	s.http = httpserver.New(s.Guard.Attach(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}, s.writeError))
	return s
}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(s.Guard.Listener(listener))
}

// Shutdown closes the listener and waits for active calls.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// withNodeName sets the node's name as the peer of an error that arose in this process.
func (s *Server) withNodeName(e *fault.Error) *fault.Error {
	copied := *e
	if copied.Peer == fault.Self {
		copied.Peer = s.Node
	}
	return &copied
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	id := s.Node + "-" + rand.Text()
	w.Header().Set(api.HeaderRequest, id)
	if s.Dispatcher.Stop.Stopping() {
		w.Header().Set("Connection", "close")
	}
	start, ok := s.Load.Begin()
	if !ok {
		s.refuse(w, r)
		return
	}
	defer start.End()
	call, err := s.prepare(r, id)
	if err != nil {
		s.reject(w, r, fault.From(err, stepParse))
		return
	}
	call.request.Start = start
	if call.completion.Stream {
		s.serveStream(w, r, call)
		return
	}
	s.serveBuffered(w, r, call)
}

// refuse refuses a call for which this node has no room.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	// An unknown class is an ordinary one here, as the call is not parsed.
	class, _ := api.ParseClass(r.Header.Get(api.HeaderClass))
	w.Header().Set("Connection", "close")
	refusal := fault.New(fault.CodeOverloaded, dispatch.StepAccept, "this node has no room for more requests")
	s.reject(w, r, refusal.WithRetryAfter(s.Load.Load().RetryAfter(int(class))))
}

// reject answers a call that may not have been read to its end.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, problem *fault.Error) {
	inbound.Refuse(w, r, func(w http.ResponseWriter) { s.writeError(w, r, problem) })
}

// writeError answers a call with an error.
func (s *Server) writeError(w http.ResponseWriter, _ *http.Request, problem *fault.Error) {
	fault.Write(w, s.withNodeName(problem))
}

// prepare reads a call, resolves its model and claims its idempotency key.
func (s *Server) prepare(r *http.Request, id string) (*parsedCall, error) {
	if err := s.accept(); err != nil {
		return nil, err
	}
	call, err := parse(r, id, time.Now())
	if err != nil {
		return nil, err
	}
	target, err := s.resolve(call.completion.Model)
	if err != nil {
		return nil, err
	}
	s.setRoute(&call, target)
	// Reading the body may have taken long. What is refused must not have its key claimed.
	if err := s.accept(); err != nil {
		return nil, err
	}
	if problem := s.Dispatcher.CheckStop(&call.request, call.request.Route); problem != nil {
		return nil, problem
	}
	if call.key != "" {
		if err := s.claimKey(r.Context(), &call, id); err != nil {
			return nil, err
		}
		call.request.Refused = func() time.Duration { return s.releaseKey(r.Context(), call.key, id) }
	}
	return &call, nil
}

// claimKey claims the key of a call, but not for longer than the call may begin at a node that stops.
func (s *Server) claimKey(ctx context.Context, call *parsedCall, id string) error {
	request := &call.request
	bound, release := s.Dispatcher.UntilRefused(ctx, request, request.Route)
	defer release()
	err := s.Claims.Take(bound, call.key, id)
	if err == nil || fault.IsCode(err, fault.CodeDuplicate) {
		return err
	}
	if refusal := s.Dispatcher.CheckStop(request, request.Route); refusal != nil {
		return refusal.WithRetryAfter(retryAfterRelease)
	}
	return err
}

// releaseKey gives back the key of a call that a stopping node refuses: the caller is to send it to another
// node under the same key. It returns the time after which the key is free.
func (s *Server) releaseKey(ctx context.Context, key, id string) time.Duration {
	if !s.Dispatcher.Stop.Stopping() {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseWait)
	defer cancel()
	if s.Claims.Release(ctx, key, id) {
		return 0
	}
	return retryAfterRelease
}

// accept returns the refusal of a call while the node takes none. A node that leaves is not the only one.
func (s *Server) accept() error {
	err := s.Accept()
	if err == nil {
		return nil
	}
	problem := fault.From(err, "accept")
	if problem.Code == fault.CodeDraining {
		return problem.WithRetryAfter(dispatch.RetryElsewhere)
	}
	return problem.WithRetryAfter(retryAfterNotReady)
}

// resolve returns what serves a model name.
func (s *Server) resolve(model string) (config.ModelTarget, error) {
	const step = "resolve model"
	configuration := s.Configuration()
	if configuration == nil {
		return config.ModelTarget{}, fault.New(fault.CodeNotReady, step, "no configuration is known yet")
	}
	target, known := configuration.Names[model]
	if !known {
		return config.ModelTarget{}, fault.New(fault.CodeUnknownModel, step, "there is no model or adapter %q", model)
	}
	if target.Replicas == 0 {
		return config.ModelTarget{}, fault.New(fault.CodeNoReplica, step, "the operators decided on no replica of %q", model).WithRetryAfter(retryAfterNoReplica)
	}
	return target, nil
}

// setRoute sets the service that the call goes to and the route options, which depend on whether it
// may be repeated.
func (s *Server) setRoute(call *parsedCall, target config.ModelTarget) {
	repeatable := call.key == ""
	route := &config.Route{
		Name: "completions", Kind: config.Unsafe, Resumable: repeatable && call.completion.Stream, Objective: startObjective,
		PauseObjective: pauseObjective, Priority: int(call.class), Attempts: 1,
	}
	switch {
	case call.completion.Stream:
		route.Kind = config.Stream
	case repeatable:
		route.Kind = config.Safe
	}
	if repeatable {
		route.Attempts = maxAttempts
	}
	request := &call.request
	request.Route, request.Service, request.Unit, request.OwnErrors = route, target.Service, target.Unit, true
	if call.completion.Stream {
		request.EndsStream = endsCompletion
	}
	request.Header.Set(s.Headers.Tokens, strconv.Itoa(request.TokensIn)+","+strconv.Itoa(request.TokensOut))
	request.Header.Set(s.Headers.Prompt, formatParts(request.Prompt))
	model := call.completion.Model
	request.Resolve = func() (backend.Unit, error) {
		target, err := s.resolve(model)
		if err == nil {
			request.Header.Set(s.Headers.Model, target.Unit.String())
		}
		return target.Unit, err
	}
}

// serveBuffered collects the response and sends it in one piece.
func (s *Server) serveBuffered(w http.ResponseWriter, r *http.Request, call *parsedCall) {
	buffer := &bufferedResponse{header: make(http.Header)}
	outcome := s.Dispatcher.Serve(r.Context(), buffer, &call.request)
	if outcome.Result == dispatch.ResultCanceled {
		panic(http.ErrAbortHandler)
	}
	copyCallerHeaders(w.Header(), buffer.header)
	if outcome.Result == dispatch.ResultServed {
		w.Header().Set(api.HeaderTimings, encode(newTimings(&outcome)))
	}
	w.WriteHeader(buffer.status)
	_, _ = w.Write(buffer.body.Bytes())
}

// serveStream passes the response on as it arrives and marks its end.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, call *parsedCall) {
	answer := &streamedResponse{ResponseWriter: w, header: make(http.Header), control: http.NewResponseController(w)}
	outcome := s.Dispatcher.Serve(r.Context(), answer, &call.request)
	switch outcome.Result {
	case dispatch.ResultServed:
		answer.finish(&outcome)
	case dispatch.ResultBroken:
		answer.fail(s.withNodeName(outcome.Problem))
	case dispatch.ResultCanceled:
		panic(http.ErrAbortHandler)
	}
}

// bufferedResponse collects a response in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers to be sent.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader stores the status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends a part of the body.
func (b *bufferedResponse) Write(content []byte) (int, error) { return b.body.Write(content) }

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	if configuration := s.Configuration(); configuration != nil {
		for name := range configuration.Names {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", Owner: "lilacvane"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(encode(list)))
}

// encode marshals the types of this package, which never fails.
func encode(value any) string {
	content, err := json.Marshal(value)
	if err != nil {
		return "{}"
	}
	return string(content)
}
