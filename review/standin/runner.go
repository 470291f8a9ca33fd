package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lilacvane/platform/protocol"
)

// runner is a sound runner of an engine, as PROTOCOL.md describes it: it runs what it holds, refuses the
// rest as not run, takes orders at the sequence number that they expect, and reports itself.
type runner struct {
	world   *world
	id      string
	service string
	address string
	// loadTime is how long an order to load takes.
	loadTime time.Duration
	// run answers a request that is run.
	run func(w http.ResponseWriter, r *http.Request)
	// ordered is called with each order that arrives, before it is judged.
	ordered func(o protocol.Order, r *http.Request)

	runs   atomic.Int64
	server *http.Server

	mutex  sync.Mutex
	models []protocol.LoadedModel
	busy   bool
	seqno  uint64
	active int
}

// startRunner starts a runner that holds some models, and lists it.
func (w *world) startRunner(id, service string, models []string, run func(http.ResponseWriter, *http.Request)) (*runner, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	r := &runner{world: w, id: id, service: service, address: listener.Addr().String(), loadTime: time.Second, run: run}
	for _, name := range models {
		r.models = append(r.models, protocol.LoadedModel{Name: name, Adapters: []string{}})
	}
	return r, r.serve(listener)
}

func (r *runner) serve(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(protocol.HeaderRunner, r.id) })
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("/", r.request)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	return r.publish()
}

// crash ends the runner as the end of its process does: its address refuses connections, those that are open
// close, and it states nothing. Its row goes after three heartbeats.
func (r *runner) crash() {
	_ = r.server.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.world.store.Put([]protocol.Row{{Table: protocol.RunnerTable, Key: r.id, Deleted: true}})
	})
}

// heartbeat is heartbeatMs of the deployment.
const heartbeat = 1200 * time.Millisecond

// publish writes the runner's row.
func (r *runner) publish() error {
	r.mutex.Lock()
	row := protocol.ListedRunner{Service: r.service, Address: r.address, Zone: "mvd-cordon", Build: "1", Slots: 64, State: protocol.StateReady, Models: append([]protocol.LoadedModel{}, r.models...), Sequence: r.seqno}
	r.mutex.Unlock()
	return r.world.list(r.id, row)
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set(protocol.HeaderNotRun, "1")
	w.WriteHeader(status)
}

// meant reports whether a call is meant for this runner.
func (r *runner) meant(w http.ResponseWriter, request *http.Request) bool {
	if expected := request.Header.Get(protocol.HeaderExpectRunner); expected != "" && expected != r.id {
		notRun(w, http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (r *runner) report(w http.ResponseWriter, request *http.Request) {
	if !r.meant(w, request) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(protocol.Report{Models: r.models, Busy: r.busy, Sequence: r.seqno, Active: r.active, KVTotal: 240000})
}

func (r *runner) order(w http.ResponseWriter, request *http.Request) {
	var o protocol.Order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil || o.Owner == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.ordered != nil {
		r.ordered(o, request)
	}
	if !r.meant(w, request) {
		return
	}
	w.WriteHeader(r.apply(o))
}

// apply judges an order and begins to carry it out.
func (r *runner) apply(o protocol.Order) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.busy || o.Expected != r.seqno {
		return http.StatusConflict
	}
	held := r.holds(o.Model)
	if held == (o.Operation == protocol.OperationLoad) {
		return http.StatusOK
	}
	r.busy = true
	r.seqno++
	time.AfterFunc(r.loadTime, func() { r.complete(o) })
	return http.StatusAccepted
}

// complete ends an order.
func (r *runner) complete(o protocol.Order) {
	r.mutex.Lock()
	r.busy = false
	if o.Operation == protocol.OperationLoad {
		r.models = append(r.models, protocol.LoadedModel{Name: o.Model, Adapters: []string{}})
	} else {
		kept := []protocol.LoadedModel{}
		for _, m := range r.models {
			if m.Name != o.Model {
				kept = append(kept, m)
			}
		}
		r.models = kept
	}
	r.mutex.Unlock()
	_ = r.publish()
}

// holds reports whether a model is loaded. The caller holds mutex.
func (r *runner) holds(model string) bool {
	for _, m := range r.models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// request runs a request that it may run.
func (r *runner) request(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(protocol.HeaderRequestID)
	w.Header().Set(protocol.HeaderRequestID, id)
	if !r.meant(w, request) {
		return
	}
	r.mutex.Lock()
	held := r.service != engineService || r.holds(request.Header.Get(protocol.HeaderModel))
	if held {
		r.active++
	}
	r.mutex.Unlock()
	switch {
	case id == "":
		notRun(w, http.StatusBadRequest)
	case !held:
		notRun(w, http.StatusMisdirectedRequest)
	default:
		w.Header().Set(protocol.HeaderSignature, fmt.Sprintf("%s.%d", r.id, r.runs.Add(1)))
		r.run(w, request)
		r.mutex.Lock()
		r.active--
		r.mutex.Unlock()
	}
}
