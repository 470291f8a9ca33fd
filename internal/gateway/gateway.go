package gateway

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/request"
)

const (
	headerTimeout = 10 * time.Second
	bodyTimeout   = 60 * time.Second
	idleTimeout   = 120 * time.Second
	retryNotReady = 2 * time.Second
	pathChat      = "/v1/chat/completions"
	pathComplete  = "/v1/completions"
	pathModels    = "/v1/models"
)

// Server is the callers' interface of one node.
type Server struct {
	service *request.Service
	catalog *catalog.Catalog
	node    string
	accept  func() error
	http    *http.Server
}

// New returns the interface. Accept returns an error while the node takes no new
// requests.
func New(service *request.Service, c *catalog.Catalog, node string, accept func() error) (*Server, error) {
	s := &Server{service: service, catalog: c, node: node, accept: accept}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutAutoFireStatusCode)
	app.Post(pathChat, s.complete)
	app.Post(pathComplete, s.complete)
	app.Get(pathModels, s.models)
	app.Any("/{path:path}", func(ctx iris.Context) {
		fault.Write(ctx.ResponseWriter(), s.named(fault.New(fault.CodeNotFound, stepParse, "no such path or method: %s %s", ctx.Method(), ctx.Path())))
	})
	if err := app.Build(); err != nil {
		return nil, fault.From(err, "build callers' interface")
	}
	s.http = &http.Server{Handler: app, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
	return s, nil
}

// Serve answers callers on the listener until Close.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown closes the listener and waits for the calls under way.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends all calls.
func (s *Server) Close() error { return s.http.Close() }

// named puts the node's name where an error arose inside this process.
func (s *Server) named(e *fault.Error) *fault.Error {
	copied := *e
	if copied.Peer == fault.Self {
		copied.Peer = s.node
	}
	return &copied
}

func (s *Server) complete(ctx iris.Context) {
	w := ctx.ResponseWriter()
	id := s.node + "-" + rand.Text()
	w.Header().Set(api.HeaderRequest, id)
	if err := s.accept(); err != nil {
		fault.Write(w, s.named(fault.From(err, "accept").WithRetryAfter(retryNotReady)))
		return
	}
	call, err := parse(ctx.Request(), id, time.Now())
	if err != nil {
		fault.Write(w, s.named(fault.From(err, stepParse)))
		return
	}
	chat := call.request.Path == pathChat
	if call.completion.Stream {
		s.stream(ctx, call, chat)
		return
	}
	s.whole(ctx, call, chat)
}

// whole collects the answer and sends it in one piece.
func (s *Server) whole(ctx iris.Context, call parsed, chat bool) {
	sink := &collector{}
	timings, err := s.service.Serve(ctx.Request().Context(), call.request, sink)
	w := ctx.ResponseWriter()
	if err != nil {
		fault.Write(w, s.named(fault.From(err, "serve")))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderTimings, encode(timings))
	_, _ = w.Write([]byte(encode(wholeAnswer(call, sink, chat))))
}

type collector struct {
	text   []byte
	finish string
	tokens int
}

// Chunk appends one part of the answer.
func (c *collector) Chunk(chunk engine.Chunk) error {
	c.text = append(c.text, chunk.Text...)
	if chunk.Finish != "" {
		c.finish = chunk.Finish
		c.tokens = chunk.Total
	}
	return nil
}

func (s *Server) stream(ctx iris.Context, call parsed, chat bool) {
	w := ctx.ResponseWriter()
	sink := &eventSink{writer: w, control: http.NewResponseController(w.Naive()), call: call, chat: chat}
	timings, err := s.service.Serve(ctx.Request().Context(), call.request, sink)
	if err == nil {
		sink.end(timings)
		return
	}
	failure := s.named(fault.From(err, "serve"))
	if !sink.started {
		fault.Write(w, failure)
		return
	}
	sink.fail(failure)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

func (s *Server) models(ctx iris.Context) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, kind := range []api.Kind{api.KindModel, api.KindAdapter} {
		for _, object := range s.catalog.List(kind) {
			list.Data = append(list.Data, modelItem{ID: object.Name, Object: "model", Owner: "lilacvane"})
		}
	}
	w := ctx.ResponseWriter()
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
