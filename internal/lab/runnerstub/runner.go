// Package runnerstub emulates a runner of the platform: orders with expected
// sequence numbers, weights in memory, host memory and on disk, adapters,
// requests with a simple model of batch and prompt memory, resumable streams, a
// lagging report, and the faults runners suffer. It journals all it does.
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

// Weights describes one model to the emulated runner.
type Weights struct {
	SizeMB   float64       `json:"sizeMB"`
	Load     time.Duration `json:"load"`
	DiskLoad time.Duration `json:"diskLoad"`
	HostLoad time.Duration `json:"hostLoad"`
}

// Settings of one emulated runner.
type Settings struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// MemoryMB is the memory for weights; AdapterSlots bounds adapters.
	MemoryMB     float64
	AdapterSlots int
	// Models describes the models by name; others take the Default.
	Models  map[string]Weights
	Default Weights
	// TokenTime is the time for an event, PromptTime for a token of a prompt
	// that is not kept.
	TokenTime  time.Duration
	PromptTime time.Duration
	// AdapterTime is the time of an adapter's load.
	AdapterTime time.Duration
	// ReportLag is how old a report is.
	ReportLag time.Duration
	Seed      uint64
	// Born is when the runner started, in Unix milliseconds.
	Born int64
	// CrashBy is a text by which a request, in its path or body, ends the runner as it
	// begins to run, and a model, in its name, as it is loaded; empty for none. Crash ends
	// the process.
	CrashBy string
	Crash   func()
}

// Faults are what a runner suffers. Shares are 0 to 1.
type Faults struct {
	// OrderLostShare of the orders are not answered and carried out LateMs
	// later, if their expected number still holds.
	OrderLostShare float64 `json:"orderLostShare,omitempty"`
	LateMs         int     `json:"lateMs,omitempty"`
	// AnswerLostShare of the requests run and are not answered.
	AnswerLostShare float64 `json:"answerLostShare,omitempty"`
	// ErrorShare of the requests fail with 500.
	ErrorShare float64 `json:"errorShare,omitempty"`
	// MuteShare of the requests get no answer for as long as the caller waits.
	MuteShare float64 `json:"muteShare,omitempty"`
	// ShedShare of the requests are refused as not run.
	ShedShare float64 `json:"shedShare,omitempty"`
	// Rest is the time, in seconds, after which a refused request may come again; it may be
	// any text. Empty for none.
	Rest string `json:"rest,omitempty"`
	// Leaving says in all answers that the runner leaves, which its row does not tell.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is named in all answers as the requests a second that the runner takes; it may be any
	// text. Empty for none.
	Limit string `json:"limit,omitempty"`
	// BreakShare of the streams break off in the middle of an event.
	BreakShare float64 `json:"breakShare,omitempty"`
	// RestMs is how long streams rest in their middle.
	RestMs int `json:"restMs,omitempty"`
	// Extra sends a second answer after each, Unframed sends no length, Early
	// answers 500 before the body of a request is read.
	Extra    bool `json:"extra,omitempty"`
	Unframed bool `json:"unframed,omitempty"`
	Early    bool `json:"early,omitempty"`
	// SlowFactor makes loads and answers take so many times as long; zero is one.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

type model struct {
	ready    bool
	leaving  bool
	active   int
	adapters map[string]bool
}

// Runner is one emulated runner. Its mutex guards all fields below it.
type Runner struct {
	settings Settings
	journal  *journal.Writer
	// Publish writes the runner's row when it changed.
	publish func(protocol.ListedRunner)

	mutex    sync.Mutex
	random   *rand.Rand
	sequence uint64
	busy     bool
	draining bool
	models   map[string]*model
	host     []string
	disk     []string
	kept     map[string]bool
	active   int
	faults   Faults
	reports  []pastReport
	// changedAt is when the account last changed.
	changedAt time.Time
	fallen    bool
	cold      coldness
}

// pastReport is an account that was true from a moment until the next change.
type pastReport struct {
	since  time.Time
	report protocol.Report
}

// New returns a runner that holds nothing. publish is called with its row
// whenever that changes.
func New(settings Settings, j *journal.Writer, publish func(protocol.ListedRunner)) *Runner {
	r := &Runner{
		settings: settings, journal: j, publish: publish, random: rand.New(rand.NewPCG(settings.Seed, 1)),
		models: make(map[string]*model), kept: make(map[string]bool),
	}
	r.record(journal.Record{Event: journal.EventStart})
	return r
}

// SetFaults changes what the runner suffers.
func (r *Runner) SetFaults(faults Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = faults
}

// Drain says that the runner leaves; it goes on serving.
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
		Born: r.settings.Born, Service: r.settings.Service, Zone: r.settings.Zone, Slots: r.settings.Slots, State: protocol.StateReady,
		Models: r.held(), Available: r.available(), Sequence: r.sequence,
		ColdLeftMs: r.cold.left(),
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

func (r *Runner) slowed(d time.Duration) time.Duration {
	if r.faults.SlowFactor > 0 {
		return time.Duration(float64(d) * r.faults.SlowFactor)
	}
	return d
}

func (r *Runner) held() []protocol.Held {
	held := []protocol.Held{}
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
		held = append(held, protocol.Held{Name: name, Adapters: adapters})
	}
	slices.SortFunc(held, func(a, b protocol.Held) int { return strings.Compare(a.Name, b.Name) })
	return held
}

func (r *Runner) available() protocol.Available {
	return protocol.Available{Resident: slices.Clone(r.host), OnDisk: slices.Clone(r.disk)}
}

// report returns the account of ReportLag ago. mutex is held.
func (r *Runner) report() protocol.Report {
	limit := time.Now().Add(-r.settings.ReportLag)
	if !r.changedAt.After(limit) {
		r.reports = nil
		return r.account()
	}
	for len(r.reports) > 1 && !r.reports[1].since.After(limit) {
		r.reports = r.reports[1:]
	}
	return r.reports[0].report
}

// account returns the account of this moment. mutex is held.
func (r *Runner) account() protocol.Report {
	return protocol.Report{
		Born: r.settings.Born, Models: r.held(), Available: r.available(), Busy: r.busy, Sequence: r.sequence, Active: r.active, Pending: r.pending(),
	}
}

// note keeps the account that a change is about to replace. mutex is held.
func (r *Runner) note() {
	r.reports = append(r.reports, pastReport{since: r.changedAt, report: r.account()})
	r.changedAt = time.Now()
}

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

// order takes an order and returns the status of its answer. mutex is held.
func (r *Runner) order(o protocol.Order) int {
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

func (r *Runner) load(o protocol.Order) int {
	if r.models[o.Model] != nil {
		return http.StatusOK
	}
	size := r.weights(o.Model).SizeMB
	r.note()
	r.sequence++
	if total := r.inUse() + size; total > r.settings.MemoryMB {
		r.record(journal.Record{Event: journal.EventViolation, Unit: o.Model, Detail: "order overcommits memory", TotalMiB: int64(total)})
		r.fallen = true
		return http.StatusAccepted
	}
	r.models[o.Model] = &model{adapters: make(map[string]bool)}
	r.busy = true
	r.record(journal.Record{Event: journal.EventLoad, Unit: o.Model, MemoryMiB: int64(size), TotalMiB: int64(r.inUse()), Detail: r.source(o.Model) + " owner " + o.Owner})
	if text := r.settings.CrashBy; text != "" && strings.Contains(o.Model, text) {
		time.AfterFunc(r.slowed(r.loadTime(o.Model))/2, func() {
			r.record(journal.Record{Event: journal.EventCrash, Unit: o.Model})
			r.settings.Crash()
		})
		return http.StatusAccepted
	}
	time.AfterFunc(r.slowed(r.loadTime(o.Model)), func() { r.loaded(o.Model) })
	return http.StatusAccepted
}

func (r *Runner) source(name string) string {
	switch {
	case slices.Contains(r.host, name):
		return "host"
	case slices.Contains(r.disk, name):
		return "disk"
	default:
		return "store"
	}
}

func (r *Runner) loadTime(name string) time.Duration {
	weights := r.weights(name)
	switch r.source(name) {
	case "host":
		return weights.HostLoad
	case "disk":
		return weights.DiskLoad
	default:
		return weights.Load
	}
}

func (r *Runner) loaded(name string) {
	r.mutex.Lock()
	r.note()
	r.busy = false
	if m := r.models[name]; m != nil {
		m.ready = true
		r.record(journal.Record{Event: journal.EventReady, Unit: name, TotalMiB: int64(r.inUse())})
	}
	for _, copies := range []*[]string{&r.host, &r.disk} {
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
	r.note()
	r.sequence++
	r.busy = true
	m.leaving = true
	r.tryRemove(o.Model)
	return http.StatusAccepted
}

// tryRemove removes a leaving model whose runs have ended. mutex is held.
func (r *Runner) tryRemove(name string) {
	m := r.models[name]
	if m == nil || !m.leaving || m.active > 0 {
		return
	}
	r.note()
	delete(r.models, name)
	r.busy = false
	r.record(journal.Record{Event: journal.EventGone, Unit: name, TotalMiB: int64(r.inUse())})
	go r.Announce()
}

func (r *Runner) orderAdapter(o protocol.Order) int {
	m := r.models[o.Model]
	if m == nil || !m.ready {
		return http.StatusConflict
	}
	r.note()
	if o.Operation == protocol.OperationUnload {
		r.sequence++
		delete(m.adapters, o.Adapter)
		r.record(journal.Record{Event: journal.EventGone, Unit: o.Model + "/" + o.Adapter})
		return http.StatusOK
	}
	if _, there := m.adapters[o.Adapter]; there {
		return http.StatusOK
	}
	r.sequence++
	if r.adapterCount() >= r.settings.AdapterSlots {
		r.record(journal.Record{Event: journal.EventViolation, Unit: o.Model + "/" + o.Adapter, Detail: "order overcommits adapter slots"})
		r.fallen = true
		return http.StatusAccepted
	}
	m.adapters[o.Adapter] = false
	r.record(journal.Record{Event: journal.EventLoad, Unit: o.Model + "/" + o.Adapter})
	time.AfterFunc(r.slowed(r.settings.AdapterTime), func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if _, there := m.adapters[o.Adapter]; there {
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

func (r *Runner) inUse() float64 {
	total := 0.0
	for name := range r.models {
		total += r.weights(name).SizeMB
	}
	return total
}
