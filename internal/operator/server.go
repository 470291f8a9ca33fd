// Package operator is the operators' interface of a node: objects, history,
// watch, policies, explanations, status, health and metrics over HTTP, and the
// client the command line uses.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/httpserver"
	"lilacvane/internal/place"
	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

const (
	maximumBody    = 4 << 20
	headerTimeout  = 10 * time.Second
	watchHeartbeat = 10 * time.Second
	forceTimeout   = 5 * time.Second
	watchPage      = 128
)

// Backend is the node behind the interface.
type Backend interface {
	// Commit commits an operation and takes it into force here.
	Commit(ctx context.Context, operation commit.Operation) (commit.Result, error)
	// Operation returns the result of an earlier operation.
	Operation(ctx context.Context, id string) (commit.Result, bool, error)
	// Explain collects decisions about a subject from the nodes concerned.
	Explain(ctx context.Context, subject string, limit int) []wire.Decision
	// Status describes the fleet as this node sees it.
	Status(ctx context.Context) Status
	// Runners describes the runners, or one by name.
	Runners(ctx context.Context, name string) []wire.RunnerStatus
	// Zones describes the zones of which anything is known.
	Zones(ctx context.Context) []wire.ZoneStatus
	// Tenants describes the tenants in force.
	Tenants(ctx context.Context) []TenantStatus
	// Quarantine lists the requests under which runners ended, as this node knows them.
	Quarantine() []wire.PoisonStatus
	// LiftQuarantine lets a request run again; its error is fault.CodeNotFound when nothing
	// is known of it. It returns once that outlives the node.
	LiftQuarantine(ctx context.Context, request poison.Identity) error
	// DrainProgress tells what is left of a planned stop.
	DrainProgress(ctx context.Context, drain api.Drain) Progress
	// Regions tells the region of each zone of the deployment.
	Regions() place.Map
	// Ready returns nil when the node serves.
	Ready() error
}

// Status describes the fleet as one node sees it.
type Status struct {
	Node  string `json:"node"`
	Ready string `json:"ready"`
	// Revision is that of the operators' objects, Configuration that of the
	// platform's part.
	Revision      uint64 `json:"revision"`
	Configuration uint64 `json:"configuration"`
	// Tables is where the node reads the store's tables: store, or the address of
	// the node that relays them.
	Tables  string         `json:"tables"`
	Members []wire.Member  `json:"members"`
	Models  []ModelStatus  `json:"models"`
	Waiting map[string]int `json:"waiting"`
	// Stores are the weight stores as the holders of their services know them.
	Stores   []wire.StoreStatus `json:"weightStores"`
	Policies []PolicyFailure    `json:"policyFailures"`
	// Problems are objects in force that cannot be used.
	Problems []string `json:"problems"`
}

// ModelStatus is a model's decided, loaded and ready replicas.
type ModelStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Weights string `json:"weights"`
	Decided int    `json:"decided"`
	Loaded  int    `json:"loaded"`
	Ready   int    `json:"ready"`
}

// TenantStatus is a tenant, its limit and its use. Rate, Burst, AskedPerSecond and Level
// are in Unit; a Rate of zero is no limit.
type TenantStatus struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Keys     int     `json:"keys"`
	Unit     string  `json:"unit"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	// AskedPerSecond is what is asked at all nodes, Lenders are the nodes that lend the
	// limit to those without a part of their own.
	AskedPerSecond float64  `json:"askedPerSecond"`
	Lenders        []string `json:"lenders"`
	// Part, 0 to 1, is the answering node's part of the limit, Level what it may spend.
	Part  float64 `json:"part"`
	Level float64 `json:"level"`
}

// PolicyFailure tells why a policy does not run.
type PolicyFailure struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Progress of a planned stop. It is finished when Finished is set.
type Progress struct {
	Target   api.DrainTarget `json:"target"`
	Name     string          `json:"name"`
	State    string          `json:"state"`
	Running  int             `json:"running"`
	Replicas int             `json:"replicas"`
	Finished bool            `json:"finished"`
}

// Submission is a set of objects to apply and keys to delete in one operation.
// Generation in each object is the one the operator saw; 0: must not exist.
type Submission struct {
	Operation string       `json:"operation"`
	Author    string       `json:"author"`
	Apply     []api.Object `json:"apply,omitempty"`
	Delete    []api.Object `json:"delete,omitempty"`
	// DryRun checks without committing.
	DryRun bool `json:"dryRun,omitempty"`
}

// Server is the operators' interface.
type Server struct {
	backend Backend
	catalog *catalog.Catalog
	node    string
	http    *httpserver.Server
	// stopping ends with stop, and watches with it.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns the interface; metrics answers GET /metrics.
func New(backend Backend, c *catalog.Catalog, node string, metrics http.Handler) *Server {
	s := &Server{backend: backend, catalog: c, node: node}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("POST /v1/operations", s.submit)
	mux.HandleFunc("GET /v1/operations/{id}", s.operation)
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("GET /v1/history/{kind}", s.history)
	mux.HandleFunc("GET /v1/history/{kind}/{name}", s.history)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("POST /v1/policies/evaluate", s.evaluate)
	mux.HandleFunc("GET /v1/explain/{kind}/{name}", s.explain)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { s.write(w, backend.Status(r.Context())) })
	mux.HandleFunc("GET /v1/runners", s.runners)
	mux.HandleFunc("GET /v1/zones", s.zones)
	mux.HandleFunc("GET /v1/tenants", func(w http.ResponseWriter, r *http.Request) { s.write(w, backend.Tenants(r.Context())) })
	mux.HandleFunc("GET /v1/quarantine", func(w http.ResponseWriter, _ *http.Request) { s.write(w, backend.Quarantine()) })
	mux.HandleFunc("DELETE /v1/quarantine/{request}", s.lift)
	mux.HandleFunc("GET /v1/drains/{name}", s.drain)
	s.http = httpserver.New(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

// Serve answers operators on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Shutdown closes the listener, ends watches and waits for the other calls under way until
// ctx ends: an operator whose change is being committed hears of it.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	return s.http.Shutdown(ctx)
}

func (s *Server) write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) fail(w http.ResponseWriter, err error, step string) {
	failure := *fault.From(err, step)
	if failure.Peer == fault.Self {
		failure.Peer = s.node
	}
	fault.Write(w, &failure)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.backend.Ready(); err != nil {
		s.fail(w, err, "ready")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	const step = "submit"
	content, err := io.ReadAll(io.LimitReader(r.Body, maximumBody+1))
	if err != nil || len(content) > maximumBody {
		s.fail(w, fault.New(fault.CodeTooLarge, step, "body cannot be read or has more than %d bytes", maximumBody), step)
		return
	}
	var submission Submission
	if err := json.Unmarshal(content, &submission); err != nil {
		s.fail(w, fault.New(fault.CodeInvalid, step, "body: %v", err), step)
		return
	}
	operation, err := s.check(submission)
	if err != nil {
		s.fail(w, err, step)
		return
	}
	if submission.DryRun {
		s.write(w, commit.Result{Operation: operation.ID})
		return
	}
	result, err := s.backend.Commit(r.Context(), operation)
	if err != nil {
		s.fail(w, err, step)
		return
	}
	s.write(w, result)
}

func (s *Server) operation(w http.ResponseWriter, r *http.Request) {
	const step = "find operation"
	result, found, err := s.backend.Operation(r.Context(), r.PathValue("id"))
	if err != nil {
		s.fail(w, err, step)
		return
	}
	if !found {
		s.fail(w, fault.New(fault.CodeNotFound, step, "operation %s has not committed", r.PathValue("id")), step)
		return
	}
	s.write(w, result)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects := s.catalog.List(api.Kind(r.PathValue("kind")))
	if objects == nil {
		objects = []api.Object{}
	}
	s.write(w, objects)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	const step = "get object"
	object, found := s.catalog.Get(api.Kind(r.PathValue("kind")), r.PathValue("name"))
	if !found {
		s.fail(w, fault.New(fault.CodeNotFound, step, "no %s %s at revision %d", r.PathValue("kind"), r.PathValue("name"), s.catalog.Revision()), step)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.Generation, 10)))
	s.write(w, object)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	entries := s.catalog.History(api.Kind(r.PathValue("kind")), r.PathValue("name"))
	if entries == nil {
		entries = []wire.Entry{}
	}
	s.write(w, entries)
}

// watch streams the log entries after a revision, one JSON line each, and a line
// with the revision alone as heartbeat.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after := s.catalog.Revision()
	if text := r.URL.Query().Get("after"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			s.fail(w, fault.New(fault.CodeInvalid, "watch", "after must be a revision"), "watch")
			return
		}
		after = revision
	}
	w.Header().Set("Content-Type", "application/jsonl")
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		changed := s.catalog.Changed()
		entries, kept := s.catalog.Since(after, watchPage)
		if !kept {
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
		case <-time.After(watchHeartbeat):
			_ = encoder.Encode(wire.Entry{Revision: s.catalog.Revision()})
		}
	}
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	const step = "drain progress"
	object, found := s.catalog.Get(api.KindDrain, r.PathValue("name"))
	if !found {
		s.fail(w, fault.New(fault.CodeNotFound, step, "no Drain %s", r.PathValue("name")), step)
		return
	}
	spec, err := api.Decode[api.Drain](object)
	if err != nil {
		s.fail(w, err, step)
		return
	}
	s.write(w, s.backend.DrainProgress(r.Context(), spec))
}
