// Package enginestub emulates a model engine: fenced orders, memory, loads from
// the weight store, continuous batching with a token-time model, a prefix cache,
// resume and cancel of streams, and a lagging load report. It journals all it
// does.
package enginestub

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
)

// Settings of one emulated engine.
type Settings struct {
	Runner      string
	Incarnation string
	MemoryMiB   int64
	Slots       int
	// TokenTime is the time for one token of a lone request; each further
	// request adds a tenth.
	TokenTime time.Duration
	// PromptTime is the time for one word of a prompt that is not cached.
	PromptTime time.Duration
	// DiskMiBPerSecond is the speed of loads from the local disk.
	DiskMiBPerSecond float64
	// WeightSpeed is the store's expected speed in MiB a second.
	WeightSpeed float64
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// CachedShare of checkpoints, chosen by hash, is on the local disk from the
	// start, 0 to 1.
	CachedShare float64
	// FlatTokenTime makes a token take TokenTime however many requests run.
	FlatTokenTime bool
}

// Fetch gets a checkpoint from the weight store.
type Fetch func(ctx context.Context, checkpoint string, mib int64) error

// unit is one unit in memory. cancel stops its load.
type unit struct {
	engine.Unit
	checkpoint string
	lastUsed   time.Time
	readyAt    time.Time
	cancel     context.CancelFunc
}

// Engine is one emulated engine. Its mutex guards all fields below it.
type Engine struct {
	settings Settings
	fetch    Fetch
	journal  *journal.Writer

	mutex    sync.Mutex
	epoch    uint64
	sequence uint64
	owner    string
	role     engine.Role
	units    map[string]*unit
	revoked  map[string]uint64
	disk     map[string]struct{}
	streams  map[string]*stream
	active   int
	cache    *prefixCache
	reports  []report
}

type report struct {
	at    time.Time
	state engine.State
}

// New returns an engine that holds nothing.
func New(settings Settings, fetch Fetch, j *journal.Writer) *Engine {
	e := &Engine{
		settings: settings, fetch: fetch, journal: j, role: engine.RoleServing,
		units: make(map[string]*unit), revoked: make(map[string]uint64), disk: make(map[string]struct{}),
		streams: make(map[string]*stream), cache: newPrefixCache(),
	}
	e.record(journal.Record{Event: journal.EventStart})
	return e
}

func (e *Engine) record(record journal.Record) {
	record.Runner = e.settings.Runner
	record.Incarnation = e.settings.Incarnation
	e.journal.Write(record)
}

// State returns the report that is ReportLag old.
func (e *Engine) State() engine.State {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	current := e.current()
	e.reports = append(e.reports, report{at: now, state: current})
	limit := now.Add(-e.settings.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(limit) {
		e.reports = e.reports[1:]
	}
	old := e.reports[0].state
	if old.Sequence != current.Sequence || old.Epoch != current.Epoch || e.reports[0].at.Before(limit) {
		return current
	}
	return old
}

// current is called with the mutex held.
func (e *Engine) current() engine.State {
	state := engine.State{
		Runner: e.settings.Runner, Incarnation: e.settings.Incarnation, Epoch: e.epoch, Sequence: e.sequence,
		Owner: e.owner, Role: e.role, MemoryMiB: e.settings.MemoryMiB, Slots: e.settings.Slots, Active: e.active,
		Revoked: make(map[string]uint64, len(e.revoked)), Cached: make(map[string]int, len(e.disk)),
	}
	now := time.Now()
	for _, u := range e.units {
		view := u.Unit
		view.LastUsedAgo = now.Sub(u.lastUsed).Milliseconds()
		if u.State == engine.UnitLoading {
			view.ReadyIn = max(1, u.readyAt.Sub(now).Milliseconds())
		}
		state.Units = append(state.Units, view)
	}
	for name, generation := range e.revoked {
		state.Revoked[name] = generation
	}
	for checkpoint := range e.disk {
		state.Cached[checkpoint] = 1
	}
	return state
}

func (e *Engine) inUse() int64 {
	var total int64
	for _, u := range e.units {
		total += u.MemoryMiB
	}
	return total
}

// Order carries out a fenced order and returns the state after it.
func (e *Engine) Order(order engine.Order) (engine.State, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.admit(order); err != nil {
		e.record(journal.Record{Event: journal.EventRefused, Unit: order.Unit, Detail: string(order.Kind) + ": " + err.Error()})
		return engine.State{}, err
	}
	e.sequence = order.Sequence
	if err := e.carryOut(order); err != nil {
		e.record(journal.Record{Event: journal.EventRefused, Unit: order.Unit, Detail: string(order.Kind) + ": " + err.Error()})
		return engine.State{}, err
	}
	return e.current(), nil
}

func (e *Engine) admit(order engine.Order) error {
	if order.Incarnation != e.settings.Incarnation {
		return e.refuse(fault.CodeStaleIncarnation, "this is incarnation %s", e.settings.Incarnation)
	}
	if order.Kind == engine.OrderFence {
		if order.Epoch <= e.epoch {
			return e.refuse(fault.CodeStaleEpoch, "epoch is %d", e.epoch)
		}
		return nil
	}
	if order.Epoch != e.epoch {
		return e.refuse(fault.CodeStaleEpoch, "epoch is %d", e.epoch)
	}
	if order.Sequence <= e.sequence {
		return e.refuse(fault.CodeStaleEpoch, "sequence is %d", e.sequence)
	}
	return nil
}

func (e *Engine) refuse(code fault.Code, format string, arguments ...any) *fault.Error {
	refusal := fault.New(code, "order", format, arguments...)
	refusal.Peer = e.settings.Runner
	return refusal
}

func (e *Engine) carryOut(order engine.Order) error {
	switch order.Kind {
	case engine.OrderFence:
		e.epoch = order.Epoch
		e.sequence = 0
		e.owner = order.Owner
	case engine.OrderBarrier:
	case engine.OrderLoad:
		return e.load(order)
	case engine.OrderUnload:
		e.unload(order.Unit)
	case engine.OrderRevoke:
		e.revoked[order.Unit] = max(e.revoked[order.Unit], order.GrantGeneration)
		e.record(journal.Record{Event: journal.EventRevoked, Unit: order.Unit, Detail: fmt.Sprint(order.GrantGeneration)})
		e.unload(order.Unit)
	case engine.OrderRole:
		e.role = order.Role
		e.record(journal.Record{Event: journal.EventRole, Detail: string(order.Role)})
	default:
		return e.refuse(fault.CodeInvalid, "unknown order %q", order.Kind)
	}
	return nil
}

// load checks an order against the fences and the memory. An order that would
// overcommit the memory is a fault of the orderer and journaled as a violation.
func (e *Engine) load(order engine.Order) error {
	if order.GrantGeneration <= e.revoked[order.Unit] {
		return e.refuse(fault.CodeStaleGrant, "grant generation %d was revoked", order.GrantGeneration)
	}
	if _, present := e.units[order.Unit]; present {
		return e.refuse(fault.CodeConflict, "%s is present", order.Unit)
	}
	if order.Base != "" {
		base, present := e.units[order.Base]
		if !present || base.State != engine.UnitReady {
			return e.refuse(fault.CodeNotLoaded, "base %s is not ready", order.Base)
		}
	}
	if total := e.inUse() + order.MemoryMiB; total > e.settings.MemoryMiB {
		e.record(journal.Record{Event: journal.EventViolation, Unit: order.Unit, MemoryMiB: order.MemoryMiB, TotalMiB: total, Detail: "order overcommits memory"})
		return e.refuse(fault.CodeMemory, "%d MiB of %d MiB would be in use", total, e.settings.MemoryMiB)
	}
	ctx, cancel := context.WithCancel(context.Background())
	loading := &unit{
		Unit: engine.Unit{
			Name: order.Unit, Version: order.Version, Base: order.Base, State: engine.UnitLoading,
			MemoryMiB: order.MemoryMiB, GrantGeneration: order.GrantGeneration,
		},
		checkpoint: order.Checkpoint, lastUsed: time.Now(), cancel: cancel,
	}
	loading.readyAt = time.Now().Add(e.expected(order))
	e.units[order.Unit] = loading
	e.recordUnit(journal.EventLoad, loading)
	go e.transfer(ctx, loading)
	return nil
}

func (e *Engine) recordUnit(event journal.Event, u *unit) {
	e.record(journal.Record{Event: event, Unit: u.Name, Version: u.Version, MemoryMiB: u.MemoryMiB, TotalMiB: e.inUse()})
}

func (e *Engine) expected(order engine.Order) time.Duration {
	speed := e.settings.WeightSpeed
	if e.onDisk(order.Checkpoint) {
		speed = e.settings.DiskMiBPerSecond
	}
	return time.Duration(float64(order.MemoryMiB) / speed * float64(time.Second))
}

// transfer brings the weights in; a failed or cancelled load frees the memory.
func (e *Engine) transfer(ctx context.Context, loading *unit) {
	err := e.bring(ctx, loading)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.units[loading.Name] != loading {
		return
	}
	if err != nil || loading.State == engine.UnitUnloading {
		e.remove(loading)
		return
	}
	loading.State = engine.UnitReady
	loading.lastUsed = time.Now()
	e.disk[loading.checkpoint] = struct{}{}
	e.recordUnit(journal.EventReady, loading)
}

func (e *Engine) bring(ctx context.Context, loading *unit) error {
	e.mutex.Lock()
	local := e.onDisk(loading.checkpoint)
	e.mutex.Unlock()
	if !local {
		return e.fetch(ctx, loading.checkpoint, loading.MemoryMiB)
	}
	duration := time.Duration(float64(loading.MemoryMiB) / e.settings.DiskMiBPerSecond * float64(time.Second))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// onDisk is called with the mutex held.
func (e *Engine) onDisk(checkpoint string) bool {
	if _, cached := e.disk[checkpoint]; cached {
		return true
	}
	if !cachedByHash(e.settings, checkpoint) {
		return false
	}
	e.disk[checkpoint] = struct{}{}
	return true
}

// unload refuses new work for a unit and removes it once its work is done.
func (e *Engine) unload(name string) {
	u, present := e.units[name]
	if !present {
		return
	}
	if u.State == engine.UnitLoading {
		u.State = engine.UnitUnloading
		u.cancel()
		return
	}
	u.State = engine.UnitUnloading
	if u.Active == 0 {
		e.remove(u)
	}
}

func (e *Engine) remove(u *unit) {
	for _, other := range e.units {
		if other.Base == u.Name {
			e.record(journal.Record{Event: journal.EventViolation, Unit: u.Name, Detail: "unloaded under adapter " + other.Name})
		}
	}
	u.cancel()
	delete(e.units, u.Name)
	e.recordUnit(journal.EventGone, u)
}
