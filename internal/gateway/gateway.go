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
	"lilacvane/internal/upstream"
)

const (
	headerTimeout = 10 * time.Second
	bodyTimeout   = 60 * time.Second
	idleTimeout   = 120 * time.Second
	retryNotReady = 2 * time.Second
	// retryNoReplica is when an operator may have changed their mind.
	retryNoReplica = time.Minute
	pathChat       = "/v1/chat/completions"
	pathComplete   = "/v1/completions"
	pathModels     = "/v1/models"
	// attempts is how many runners a call that may be repeated is sent to.
	attempts = 3
	// objective is the time of a prompt first part.
	objective      = 10 * time.Second
	pauseObjective = 2 * time.Second
)

// Claims lets at most one attempt run under an idempotency key.
type Claims interface {
	// Take claims a key for an attempt.
	Take(ctx context.Context, key, attempt string) error
}

// Options are the parts of the interface.
type Options struct {
	Node          string
	Names         upstream.Names
	Dispatcher    *dispatch.Dispatcher
	Configuration func() *config.Configuration
	Claims        Claims
	// Accept returns an error while the node takes no new requests.
	Accept func() error
}

// Server is the callers' interface of one node. It uses net/http alone: the
// larger library costs a node more memory than all of its own state.
type Server struct {
	Options
	http *httpserver.Server
}

// New returns the interface.
func New(options Options) *Server {
	s := &Server{Options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathChat, s.complete)
	mux.HandleFunc("POST "+pathComplete, s.complete)
	mux.HandleFunc("GET "+pathModels, s.models)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fault.Write(w, s.named(fault.New(fault.CodeNotFound, stepParse, "no such path or method: %s %s", r.Method, r.URL.Path)))
	})
	s.http = httpserver.New(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout})
	return s
}

// Serve answers callers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown closes the listener and waits for the calls under way.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// named puts the node's name where an error arose inside this process.
func (s *Server) named(e *fault.Error) *fault.Error {
	copied := *e
	if copied.Peer == fault.Self {
		copied.Peer = s.Node
	}
	return &copied
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	id := s.Node + "-" + rand.Text()
	w.Header().Set(api.HeaderRequest, id)
	call, err := s.prepare(r, id)
	if err != nil {
		fault.Write(w, s.named(fault.From(err, stepParse)))
		return
	}
	if call.completion.Stream {
		s.stream(w, r, call)
		return
	}
	s.whole(w, r, call)
}

// prepare reads a call, resolves its model and claims its key.
func (s *Server) prepare(r *http.Request, id string) (*parsed, error) {
	if err := s.Accept(); err != nil {
		return nil, fault.From(err, "accept").WithRetryAfter(retryNotReady)
	}
	call, err := parse(r, id, time.Now())
	if err != nil {
		return nil, err
	}
	name, err := s.resolve(call.completion.Model)
	if err != nil {
		return nil, err
	}
	if call.key != "" {
		if err := s.Claims.Take(r.Context(), call.key, id); err != nil {
			return nil, err
		}
	}
	s.address(&call, name)
	return &call, nil
}

// resolve finds what serves a name.
func (s *Server) resolve(model string) (config.Name, error) {
	const step = "resolve model"
	configuration := s.Configuration()
	if configuration == nil {
		return config.Name{}, fault.New(fault.CodeNotReady, step, "no configuration is known yet")
	}
	name, known := configuration.Names[model]
	if !known {
		return config.Name{}, fault.New(fault.CodeUnknownModel, step, "there is no model or adapter %q", model)
	}
	if name.Replicas == 0 {
		return config.Name{}, fault.New(fault.CodeNoReplica, step, "the operators decided on no replica of %q", model).WithRetryAfter(retryNoReplica)
	}
	return name, nil
}

// address fills in where the call goes and how it may be treated there.
func (s *Server) address(call *parsed, name config.Name) {
	repeatable := call.key == ""
	route := &config.Route{
		Name: "completions", Kind: config.Unsafe, Resumable: repeatable && call.completion.Stream, Objective: objective,
		PauseObjective: pauseObjective, Priority: int(call.class), Attempts: 1,
	}
	switch {
	case call.completion.Stream:
		route.Kind = config.Stream
	case repeatable:
		route.Kind = config.Safe
	}
	if repeatable {
		route.Attempts = attempts
	}
	request := &call.request
	request.Route, request.Service, request.Unit, request.OwnErrors = route, name.Service, name.Unit, true
	request.Header.Set(s.Names.Tokens, strconv.Itoa(request.TokensIn)+","+strconv.Itoa(request.TokensOut))
	for _, part := range request.Prompt {
		request.Header.Set(s.Names.Prompt, part.ID+":"+strconv.Itoa(part.Tokens))
	}
	model := call.completion.Model
	request.Resolve = func() (backend.Unit, error) {
		name, err := s.resolve(model)
		if err == nil {
			request.Header.Set(s.Names.Model, name.Unit.String())
		}
		return name.Unit, err
	}
}

// whole collects the answer and sends it in one piece.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, call *parsed) {
	buffer := &bufferedAnswer{header: make(http.Header)}
	outcome := s.Dispatcher.Serve(r.Context(), buffer, &call.request)
	if outcome.Result == dispatch.ResultCanceled {
		panic(http.ErrAbortHandler)
	}
	copyPlain(w.Header(), buffer.header)
	if outcome.Result == dispatch.ResultServed {
		w.Header().Set(api.HeaderTimings, encode(timingsOf(&outcome)))
	}
	w.WriteHeader(buffer.status)
	_, _ = w.Write(buffer.body.Bytes())
}

// stream passes the answer on as it comes and marks its end.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, call *parsed) {
	answer := &streamedAnswer{ResponseWriter: w, header: make(http.Header), control: http.NewResponseController(w)}
	outcome := s.Dispatcher.Serve(r.Context(), answer, &call.request)
	switch outcome.Result {
	case dispatch.ResultServed:
		answer.end(&outcome)
	case dispatch.ResultBroken:
		answer.fail(s.named(outcome.Problem))
	case dispatch.ResultCanceled:
		panic(http.ErrAbortHandler)
	}
}

// bufferedAnswer keeps an answer.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header to be sent.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader keeps the status.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write keeps a part of the body.
func (b *bufferedAnswer) Write(content []byte) (int, error) { return b.body.Write(content) }

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
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

// encode renders this package's own types, which always encode.
func encode(value any) string {
	content, err := json.Marshal(value)
	if err != nil {
		return "{}"
	}
	return string(content)
}
