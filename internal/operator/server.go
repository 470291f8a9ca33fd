// Package operator implements the operators' HTTP API of a node: objects, history,
// watches, policies, explanations, status, health and metrics. It includes the
// client that the command line uses.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/httpserver"
	"lilacvane/internal/inbound"
	"lilacvane/internal/place"
	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

const (
	maximumBody = 4 << 20
	// parseCopies is how many times the memory of a body its parsing takes.
	parseCopies       = 3
	headerTimeout     = 10 * time.Second
	heartbeatInterval = 10 * time.Second
	forceTimeout      = 5 * time.Second
	watchPageSize     = 128
)

// Backend is the node that the API serves.
type Backend interface {
	// Commit commits an operation and applies it to this node.
	Commit(ctx context.Context, operation commit.Operation) (commit.Result, error)
	// Operation returns the result of an earlier operation by its ID. It reports
	// false if the operation is not known to have committed.
	Operation(ctx context.Context, id string) (commit.Result, bool, error)
	// Explain collects recorded decisions about a subject from the nodes
	// concerned.
	Explain(ctx context.Context, subject string, limit int) []wire.Decision
	// Status returns the state of the fleet as this node sees it.
	Status(ctx context.Context) Status
	// Runners returns the state of all runners, or of one if name is not empty.
	Runners(ctx context.Context, name string) []wire.RunnerStatus
	// Zones returns the state of all known zones.
	Zones(ctx context.Context) []wire.ZoneStatus
	// Tenants returns the configured tenants with their limits and use.
	Tenants(ctx context.Context) []TenantStatus
	// Quarantine returns the requests during which runners crashed, as far as this node
	// knows them.
	Quarantine() []wire.PoisonStatus
	// LiftQuarantine allows a request to run again. The error is fault.CodeNotFound if
	// nothing is known of the request. It returns once the change would survive the
	// loss of this node.
	LiftQuarantine(ctx context.Context, request poison.Identity) error
	// DrainProgress returns the progress of a planned stop.
	DrainProgress(ctx context.Context, drain api.Drain) Progress
	// Regions returns the region of each zone of the deployment.
	Regions() place.Map
	// Ready returns nil if the node can serve requests.
	Ready() error
}

// Status is the state of the fleet as one node sees it.
type Status struct {
	Node  string `json:"node"`
	Ready string `json:"ready"`
	// Revision is the revision of the operators' objects, Configuration that of
	// the platform's part of the configuration.
	Revision      uint64 `json:"revision"`
	Configuration uint64 `json:"configuration"`
	// Tables is the node's source of the store's tables: "store", or the address
	// of the node that relays them.
	Tables  string         `json:"tables"`
	Members []wire.Member  `json:"members"`
	Models  []ModelStatus  `json:"models"`
	Waiting map[string]int `json:"waiting"`
	// Stores holds the state of the weight stores as the lease holders of their
	// services see it.
	Stores   []wire.StoreStatus `json:"weightStores"`
	Policies []PolicyFailure    `json:"policyFailures"`
	// Problems lists committed objects that cannot be used, and why.
	Problems []string `json:"problems"`
}

// ModelStatus holds the numbers of a model's replicas: the bound that operators
// decided on, and how many are loaded and ready.
type ModelStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Weights string `json:"weights"`
	Decided int    `json:"decided"`
	Loaded  int    `json:"loaded"`
	Ready   int    `json:"ready"`
}

// TenantStatus describes a tenant, its limit and its use. Rate, Burst, AskedPerSecond and
// Level are in Unit; a Rate of zero means no limit.
type TenantStatus struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Keys     int     `json:"keys"`
	Unit     string  `json:"unit"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	// AskedPerSecond is the demand at all nodes together. Lenders are the nodes that lend
	// from the limit to nodes without a share of their own.
	AskedPerSecond float64  `json:"askedPerSecond"`
	Lenders        []string `json:"lenders"`
	// Part, 0 to 1, is the answering node's share of the limit; Level is the amount that
	// it may spend now.
	Part  float64 `json:"part"`
	Level float64 `json:"level"`
}

// PolicyFailure names a policy that cannot be run, and the reason.
type PolicyFailure struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Progress is the state of a planned stop. Running is the number of requests in progress
// at the runners concerned, Replicas the number of models and adapters listed for them.
// Finished is set when nothing is left.
type Progress struct {
	Target   api.DrainTarget `json:"target"`
	Name     string          `json:"name"`
	State    string          `json:"state"`
	Running  int             `json:"running"`
	Replicas int             `json:"replicas"`
	Finished bool            `json:"finished"`
}

// Submission is a set of objects to apply or delete in one operation. The Generation
// of each object is the one that the operator saw; 0 means that the object must not
// exist yet.
type Submission struct {
	Operation string       `json:"operation"`
	Author    string       `json:"author"`
	Apply     []api.Object `json:"apply,omitempty"`
	Delete    []api.Object `json:"delete,omitempty"`
	// DryRun validates the submission without committing it.
	DryRun bool `json:"dryRun,omitempty"`
}

// Server serves the operators' API.
type Server struct {
	backend Backend
	catalog *catalog.Catalog
	node    string
	guard   *inbound.Guard
	http    *httpserver.Server
	// stopping is canceled by stop; this ends all watches.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a server for a node; guard bounds the memory of calls, metrics handles GET /metrics.
func New(backend Backend, c *catalog.Catalog, node string, guard *inbound.Guard, metrics http.Handler) *Server {
	s := &Server{backend: backend, catalog: c, node: node, guard: guard}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("POST /v1/operations", s.submit)
	mux.HandleFunc("GET /v1/operations/{id}", s.operation)
	mux.HandleFunc("GET /v1/objects/{kind}", s.listObjects)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.getObject)
	mux.HandleFunc("GET /v1/history/{kind}", s.history)
	mux.HandleFunc("GET /v1/history/{kind}/{name}", s.history)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("POST /v1/policies/evaluate", s.evaluate)
	mux.HandleFunc("GET /v1/explain/{kind}/{name}", s.explain)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { s.writeJSON(w, backend.Status(r.Context())) })
	mux.HandleFunc("GET /v1/runners", s.runners)
	mux.HandleFunc("GET /v1/zones", s.zones)
	mux.HandleFunc("GET /v1/tenants", func(w http.ResponseWriter, r *http.Request) { s.writeJSON(w, backend.Tenants(r.Context())) })
	mux.HandleFunc("GET /v1/quarantine", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, backend.Quarantine()) })
	mux.HandleFunc("DELETE /v1/quarantine/{request}", s.liftQuarantine)
	mux.HandleFunc("GET /v1/drains/{name}", s.drainProgress)
	s.http = httpserver.New(guard.Attach(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, s.refuse))
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

// Serve accepts calls on the listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(s.guard.Listener(listener)) }

// Shutdown closes the listener, ends all watches and waits for other calls in progress
// until ctx ends, so that operators get the result of changes being committed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	return s.http.Shutdown(ctx)
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) writeError(w http.ResponseWriter, err error, step string) {
	failure := *fault.From(err, step)
	if failure.Peer == fault.Self {
		failure.Peer = s.node
	}
	fault.Write(w, &failure)
}

// refuse answers a call for which there is no memory.
func (s *Server) refuse(w http.ResponseWriter, _ *http.Request, problem *fault.Error) {
	s.writeError(w, problem, problem.Step)
}

// decodeBody decodes the body of a call into target, a pointer. It returns false if it has answered the call with an
// error.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, step string, target any) bool {
	content, err := inbound.ReadBody(r, maximumBody, parseCopies)
	if err != nil {
		inbound.Refuse(w, r, func(w http.ResponseWriter) { s.writeError(w, err, step) })
		return false
	}
	if err := json.Unmarshal(content.Bytes(), target); err != nil {
		s.writeError(w, fault.New(fault.CodeInvalid, step, "body: %v", err), step)
		return false
	}
	return true
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.backend.Ready(); err != nil {
		s.writeError(w, err, "ready")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	const step = "submit"
	var submission Submission
	if !s.decodeBody(w, r, step, &submission) {
		return
	}
	operation, err := s.toOperation(submission)
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	if submission.DryRun {
		s.writeJSON(w, commit.Result{Operation: operation.ID})
		return
	}
	result, err := s.backend.Commit(r.Context(), operation)
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	s.writeJSON(w, result)
}

func (s *Server) operation(w http.ResponseWriter, r *http.Request) {
	const step = "find operation"
	result, found, err := s.backend.Operation(r.Context(), r.PathValue("id"))
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	if !found {
		s.writeError(w, fault.New(fault.CodeNotFound, step, "operation %s has not committed", r.PathValue("id")), step)
		return
	}
	s.writeJSON(w, result)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	objects := s.catalog.List(api.Kind(r.PathValue("kind")))
	if objects == nil {
		objects = []api.Object{}
	}
	s.writeJSON(w, objects)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	const step = "get object"
	object, found := s.catalog.Get(api.Kind(r.PathValue("kind")), r.PathValue("name"))
	if !found {
		s.writeError(w, fault.New(fault.CodeNotFound, step, "no %s %s at revision %d", r.PathValue("kind"), r.PathValue("name"), s.catalog.Revision()), step)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.Generation, 10)))
	s.writeJSON(w, object)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	entries := s.catalog.History(api.Kind(r.PathValue("kind")), r.PathValue("name"))
	if entries == nil {
		entries = []wire.Entry{}
	}
	s.writeJSON(w, entries)
}

// watch streams the log entries after a revision, one per line of JSON. Lines that
// hold only a revision serve as heartbeats.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after := s.catalog.Revision()
	if text := r.URL.Query().Get("after"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			s.writeError(w, fault.New(fault.CodeInvalid, "watch", "after must be a revision"), "watch")
			return
		}
		after = revision
	}
	w.Header().Set("Content-Type", "application/jsonl")
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	resets := s.catalog.Resets()
	for {
		changed := s.catalog.Changed()
		entries, kept := s.catalog.Since(after, watchPageSize)
		if !kept || s.catalog.Resets() != resets {
			_ = encoder.Encode(fault.ToBody(fault.New(fault.CodeNotFound, "watch", "entries after %d are no longer kept; read the objects", after)))
			return
		}
		for _, entry := range entries {
			if encoder.Encode(entry) != nil {
				return
			}
			after = entry.Revision
		}
		if control.Flush() != nil {
			return
		}
		if len(entries) > 0 {
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-s.stopping.Done():
			return
		case <-changed:
		case <-time.After(heartbeatInterval):
			_ = encoder.Encode(wire.Entry{Revision: s.catalog.Revision()})
		}
	}
}

func (s *Server) drainProgress(w http.ResponseWriter, r *http.Request) {
	const step = "drain progress"
	object, found := s.catalog.Get(api.KindDrain, r.PathValue("name"))
	if !found {
		s.writeError(w, fault.New(fault.CodeNotFound, step, "no Drain %s", r.PathValue("name")), step)
		return
	}
	spec, err := api.Decode[api.Drain](object)
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	s.writeJSON(w, s.backend.DrainProgress(r.Context(), spec))
}
