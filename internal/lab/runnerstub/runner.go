// Package runnerstub emulates a runner of the platform: load and unload orders with
// expected sequence numbers, weights in accelerator memory, in host memory and on disk,
// adapters, requests with a simple model of batching and prompt caching, resumable
// streams, a report that lags behind, and injected faults. It journals all events.
package runnerstub

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lilacvane/internal/lab/journal"
	"lilacvane/platform/protocol"
)

// Weights are the size and the load times of a model's weights: Load from the weight
// store, DiskLoad from local disk and HostLoad from host memory.
type Weights struct {
	SizeMB   float64       `json:"sizeMB"`
	Load     time.Duration `json:"load"`
	DiskLoad time.Duration `json:"diskLoad"`
	HostLoad time.Duration `json:"hostLoad"`
}

// Settings are the settings of an emulated runner.
type Settings struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// MemoryMB is the memory for weights, AdapterSlots the maximum number of adapters.
	MemoryMB     float64
	AdapterSlots int
	// Models are the weights of models by name; Default applies to the others.
	Models  map[string]Weights
	Default Weights
	// TokenTime is the time per event, PromptTime the time per prompt token that is not
	// cached.
	TokenTime  time.Duration
	PromptTime time.Duration
	// AdapterTime is the load time of an adapter.
	AdapterTime time.Duration
	// ReportLag is the age of the state that a report shows.
	ReportLag time.Duration
	Seed      uint64
	// Born is the start time of the runner, in Unix milliseconds.
	Born int64
	// Build is the version of its software, which its row states and its events carry; empty for
	// none.
	Build string
	// CrashBy is a text that crashes the runner: a request with it in its path or body when
	// it is run, a model with it in its name while it is loaded. Empty for none. Crash ends
	// the process.
	CrashBy string
	Crash   func()
	// CrashByParts are parts of prompts, by commas: a request with one of them that is not its last one
	// crashes the runner as it begins to write an answer.
	CrashByParts string
}

// Faults are the faults injected into a runner. Shares are 0 to 1.
type Faults struct {
	// OrderLostShare of the orders get no response and are executed LateMs later, if their
	// expected sequence number is still the current one.
	OrderLostShare float64 `json:"orderLostShare,omitempty"`
	LateMs         int     `json:"lateMs,omitempty"`
	// AnswerLostShare of the requests that are not streamed run and get no response.
	AnswerLostShare float64 `json:"answerLostShare,omitempty"`
	// ErrorShare of the requests fail with 500.
	ErrorShare float64 `json:"errorShare,omitempty"`
	// MuteShare of the requests get no response for as long as the caller waits.
	MuteShare float64 `json:"muteShare,omitempty"`
	// ShedShare of the requests are refused without being run.
	ShedShare float64 `json:"shedShare,omitempty"`
	// Rest is the value of Retry-After in refusals with 503: a number of seconds or, to test
	// malformed values, any text. Empty for none.
	Rest string `json:"rest,omitempty"`
	// Leaving announces in all responses that the runner is about to leave. Its row remains
	// unchanged.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is announced in all responses as the requests per second that the runner accepts;
	// a number or, to test malformed values, any text. Empty for none.
	Limit string `json:"limit,omitempty"`
	// Brittle is announced in all responses as the number of requests that the runner may reject
	// within a second for lack of room; its process ends when it rejects more. A number or, to
	// test malformed values, any text. Empty for none.
	Brittle string `json:"brittle,omitempty"`
	// Room is the number of requests that the runner admits at once; zero means its slots and
	// queue.
	Room int `json:"room,omitempty"`
	// BreakShare of the streams are aborted in the middle of an event.
	BreakShare float64 `json:"breakShare,omitempty"`
	// RestMs is how long streams pause halfway, in milliseconds.
	RestMs int `json:"restMs,omitempty"`
	// CutShare of the answers end halfway as if they were complete, CrashShare end halfway with the
	// runner's process. Streams end between two events or, with InEvent, in the middle of one.
	CutShare   float64 `json:"cutShare,omitempty"`
	CrashShare float64 `json:"crashShare,omitempty"`
	InEvent    bool    `json:"inEvent,omitempty"`
	// Extra sends each response that is not streamed twice, Unframed sends all without a length or
	// chunks, Early responds with 500 before the body of a request is read.
	Extra    bool `json:"extra,omitempty"`
	Unframed bool `json:"unframed,omitempty"`
	Early    bool `json:"early,omitempty"`
	// ResetUpload answers with a part of a success before the body of a request is read, and resets the
	// connection ResetMs later, in milliseconds.
	ResetUpload bool `json:"resetUpload,omitempty"`
	ResetMs     int  `json:"resetMs,omitempty"`
	// Raw is sent in place of each answer, after which the connection is closed. RawIdentity in it stands for the
	// lines of a head that identify the request and the runner. Empty for none.
	Raw string `json:"raw,omitempty"`
	// Endless makes answers begin with bytes that have no end, until the caller closes the connection.
	Endless Endless `json:"endless,omitempty"`
	// StopIn makes answers stop in this part and end with their connections, by a reset with Reset.
	StopIn StopIn `json:"stopIn,omitempty"`
	Reset  bool   `json:"reset,omitempty"`
	// SlowFactor multiplies the time of loads and responses; zero means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// model is a model on the runner, from its load order until it is unloaded.
type model struct {
	ready     bool
	unloading bool
	// active is the number of its requests in progress.
	active int
	// adapters maps its adapters to whether they are loaded.
	adapters map[string]bool
}

// Runner is an emulated runner. Its mutex guards the fields below it.
type Runner struct {
	settings Settings
	journal  *journal.Writer
	// publish writes the runner's row to the store.
	publish func(protocol.ListedRunner)

	mutex          sync.Mutex
	random         *rand.Rand
	sequence       uint64
	busy           bool
	draining       bool
	models         map[string]*model
	onHost         []string
	onDisk         []string
	cachedPrefixes map[string]bool
	active         int
	faults         Faults
	reports        []pastReport
	// changedAt is when the current report last changed.
	changedAt time.Time
	// collapsed is set after a violation: the runner refuses all further requests.
	collapsed bool
	cold      coldPeriod
	// rejections are the times of the requests rejected within the last second for lack of room.
	rejections []time.Time
}

// pastReport is a report that was current from since until the next change.
type pastReport struct {
	since  time.Time
	report protocol.Report
}

// New returns a runner without models. publish is called with the runner's row whenever
// that changes.
func New(settings Settings, j *journal.Writer, publish func(protocol.ListedRunner)) *Runner {
	r := &Runner{
		settings: settings, journal: j, publish: publish, random: rand.New(rand.NewPCG(settings.Seed, 1)),
		models: make(map[string]*model), cachedPrefixes: make(map[string]bool),
	}
	r.record(journal.Record{Event: journal.EventStart})
	return r
}

// SetFaults replaces the injected faults.
func (r *Runner) SetFaults(faults Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = faults
}

// Drain publishes the draining state in the runner's row. The runner continues to serve.
func (r *Runner) Drain() {
	r.mutex.Lock()
	r.draining = true
	r.record(journal.Record{Event: journal.EventDraining, Detail: protocol.StateDraining})
	r.mutex.Unlock()
	r.Announce()
}

// Announce publishes the runner's row.
func (r *Runner) Announce() {
	r.mutex.Lock()
	row := protocol.ListedRunner{
		Born: r.settings.Born, Service: r.settings.Service, Zone: r.settings.Zone, Build: r.settings.Build, Slots: r.settings.Slots, State: protocol.StateReady,
		Models: r.readyModels(), Available: r.available(), Sequence: r.sequence,
		ColdLeftMs: r.cold.remaining(),
	}
	if r.draining {
		row.State = protocol.StateDraining
	}
	r.mutex.Unlock()
	r.publish(row)
}

func (r *Runner) record(record journal.Record) {
	record.Runner = r.settings.ID
	record.Incarnation = r.settings.ID
	r.journal.Write(record)
}

func (r *Runner) weights(name string) Weights {
	if known, ok := r.settings.Models[name]; ok {
		return known
	}
	return r.settings.Default
}

// slowed returns a duration multiplied by SlowFactor.
func (r *Runner) slowed(d time.Duration) time.Duration {
	if r.faults.SlowFactor > 0 {
		return time.Duration(float64(d) * r.faults.SlowFactor)
	}
	return d
}

func (r *Runner) readyModels() []protocol.LoadedModel {
	models := []protocol.LoadedModel{}
	for name, m := range r.models {
		if !m.ready {
			continue
		}
		adapters := []string{}
		for adapter, ready := range m.adapters {
			if ready {
				adapters = append(adapters, adapter)
			}
		}
		slices.Sort(adapters)
		models = append(models, protocol.LoadedModel{Name: name, Adapters: adapters})
	}
	slices.SortFunc(models, func(a, b protocol.LoadedModel) int { return strings.Compare(a.Name, b.Name) })
	return models
}

// available returns the models whose weights are in host memory and on disk.
func (r *Runner) available() protocol.CachedModels {
	return protocol.CachedModels{Resident: slices.Clone(r.onHost), OnDisk: slices.Clone(r.onDisk)}
}

// delayedReport returns the report as of ReportLag ago. The caller holds r.mutex.
func (r *Runner) delayedReport() protocol.Report {
	cutoff := time.Now().Add(-r.settings.ReportLag)
	if !r.changedAt.After(cutoff) {
		r.reports = nil
		return r.currentReport()
	}
	for len(r.reports) > 1 && !r.reports[1].since.After(cutoff) {
		r.reports = r.reports[1:]
	}
	return r.reports[0].report
}

// currentReport returns the report of the current state. The caller holds r.mutex.
func (r *Runner) currentReport() protocol.Report {
	return protocol.Report{
		Born: r.settings.Born, Models: r.readyModels(), Available: r.available(), Busy: r.busy, Sequence: r.sequence, Active: r.active, Pending: r.pending(),
	}
}

// saveReport keeps the current report before a change replaces it. The caller holds
// r.mutex.
func (r *Runner) saveReport() {
	r.reports = append(r.reports, pastReport{since: r.changedAt, report: r.currentReport()})
	r.changedAt = time.Now()
}

// pending returns the adapters that are being loaded.
func (r *Runner) pending() []string {
	pending := []string{}
	for name, m := range r.models {
		for adapter, ready := range m.adapters {
			if !ready {
				pending = append(pending, name+"/"+adapter+"@1")
			}
		}
	}
	return pending
}

// applyOrder executes an order and returns the HTTP status of its response. The caller
// holds r.mutex.
func (r *Runner) applyOrder(o protocol.Order) int {
	if o.Owner == "" || o.FenceToken == 0 {
		return http.StatusBadRequest
	}
	if o.Expected != r.sequence {
		r.record(journal.Record{Event: journal.EventRefused, Unit: o.Model, Detail: fmt.Sprintf("expected %d, is %d", o.Expected, r.sequence)})
		return http.StatusConflict
	}
	if o.Adapter != "" {
		return r.orderAdapter(o)
	}
	if r.busy {
		return http.StatusConflict
	}
	switch o.Operation {
	case protocol.OperationLoad:
		return r.load(o)
	case protocol.OperationUnload:
		return r.unload(o)
	default:
		return http.StatusBadRequest
	}
}

// load executes an order to load a model. An order that exceeds the runner's memory is a
// violation, after which the runner collapses.
func (r *Runner) load(o protocol.Order) int {
	if r.models[o.Model] != nil {
		return http.StatusOK
	}
	size := r.weights(o.Model).SizeMB
	r.saveReport()
	r.sequence++
	if total := r.memoryInUse() + size; total > r.settings.MemoryMB {
		r.record(journal.Record{Event: journal.EventViolation, Unit: o.Model, Detail: "order overcommits memory", TotalMiB: int64(total)})
		r.collapsed = true
		return http.StatusAccepted
	}
	r.models[o.Model] = &model{adapters: make(map[string]bool)}
	r.busy = true
	r.record(journal.Record{Event: journal.EventLoad, Unit: o.Model, MemoryMiB: int64(size), TotalMiB: int64(r.memoryInUse()), Detail: r.weightsSource(o.Model) + " owner " + o.Owner})
	if text := r.settings.CrashBy; text != "" && strings.Contains(o.Model, text) {
		time.AfterFunc(r.slowed(r.loadTime(o.Model))/2, func() {
			r.record(journal.Record{Event: journal.EventCrash, Unit: o.Model})
			r.settings.Crash()
		})
		return http.StatusAccepted
	}
	time.AfterFunc(r.slowed(r.loadTime(o.Model)), func() { r.finishLoad(o.Model) })
	return http.StatusAccepted
}

func (r *Runner) weightsSource(name string) string {
	switch {
	case slices.Contains(r.onHost, name):
		return "host"
	case slices.Contains(r.onDisk, name):
		return "disk"
	default:
		return "store"
	}
}

func (r *Runner) loadTime(name string) time.Duration {
	weights := r.weights(name)
	switch r.weightsSource(name) {
	case "host":
		return weights.HostLoad
	case "disk":
		return weights.DiskLoad
	default:
		return weights.Load
	}
}

func (r *Runner) finishLoad(name string) {
	r.mutex.Lock()
	r.saveReport()
	r.busy = false
	if m := r.models[name]; m != nil {
		m.ready = true
		r.record(journal.Record{Event: journal.EventReady, Unit: name, TotalMiB: int64(r.memoryInUse())})
	}
	for _, copies := range []*[]string{&r.onHost, &r.onDisk} {
		if !slices.Contains(*copies, name) {
			*copies = append(*copies, name)
		}
	}
	r.mutex.Unlock()
	r.Announce()
}

func (r *Runner) unload(o protocol.Order) int {
	m := r.models[o.Model]
	if m == nil {
		return http.StatusOK
	}
	r.saveReport()
	r.sequence++
	r.busy = true
	m.unloading = true
	r.removeIfIdle(o.Model)
	return http.StatusAccepted
}

// removeIfIdle removes a model that is being unloaded once its requests have ended. The
// caller holds r.mutex.
func (r *Runner) removeIfIdle(name string) {
	m := r.models[name]
	if m == nil || !m.unloading || m.active > 0 {
		return
	}
	r.saveReport()
	delete(r.models, name)
	r.busy = false
	r.record(journal.Record{Event: journal.EventUnloaded, Unit: name, TotalMiB: int64(r.memoryInUse())})
	go r.Announce()
}

func (r *Runner) orderAdapter(o protocol.Order) int {
	m := r.models[o.Model]
	if m == nil || !m.ready {
		return http.StatusConflict
	}
	r.saveReport()
	if o.Operation == protocol.OperationUnload {
		r.sequence++
		delete(m.adapters, o.Adapter)
		r.record(journal.Record{Event: journal.EventUnloaded, Unit: o.Model + "/" + o.Adapter})
		return http.StatusOK
	}
	if _, exists := m.adapters[o.Adapter]; exists {
		return http.StatusOK
	}
	r.sequence++
	if r.adapterCount() >= r.settings.AdapterSlots {
		r.record(journal.Record{Event: journal.EventViolation, Unit: o.Model + "/" + o.Adapter, Detail: "order overcommits adapter slots"})
		r.collapsed = true
		return http.StatusAccepted
	}
	m.adapters[o.Adapter] = false
	r.record(journal.Record{Event: journal.EventLoad, Unit: o.Model + "/" + o.Adapter})
	time.AfterFunc(r.slowed(r.settings.AdapterTime), func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if _, exists := m.adapters[o.Adapter]; exists {
			m.adapters[o.Adapter] = true
			r.record(journal.Record{Event: journal.EventReady, Unit: o.Model + "/" + o.Adapter})
		}
	})
	return http.StatusAccepted
}

func (r *Runner) adapterCount() int {
	count := 0
	for _, m := range r.models {
		count += len(m.adapters)
	}
	return count
}

func (r *Runner) memoryInUse() float64 {
	total := 0.0
	for name := range r.models {
		total += r.weights(name).SizeMB
	}
	return total
}
