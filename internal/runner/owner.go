// Package runner holds the ownership of runners: the owner of a runner is the
// one node whose orders the runner accepts. It fences by an epoch raised at the
// runner itself, so ownership needs no table and no clock.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/decision"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/ledger"
	"lilacvane/internal/machines"
	"lilacvane/internal/wire"
)

// Permits schedules loads from the weight store.
type Permits interface {
	// Acquire returns zero when the holder may load, else when to ask again.
	Acquire(ctx context.Context, holder string, class api.Class) time.Duration
	// Release gives the holder's permit back.
	Release(holder string)
}

// wish is a unit that a coordinator wants ready on the runner.
type wish struct {
	coordinator string
	// class is the most pressing class that waits for the unit.
	class api.Class
	// keepUntil protects the replica from sleeping.
	keepUntil time.Time
	// loadUntil is how long the owner goes on trying to load it.
	loadUntil time.Time
	// since is when the load was first wished.
	since time.Time
}

// owner drives one incarnation of one runner. Its mutex guards all fields below
// it; it is not held during calls to the runner, which only the loop makes.
type owner struct {
	machine  machines.Machine
	node     string
	control  engine.Control
	catalog  *catalog.Catalog
	permits  Permits
	keep     KeepAlive
	log      *decision.Log
	logger   logr.Logger
	report   func(coordinator string, replica wire.Replica)
	revoked  func(unit string, item api.GrantItem)
	wantRole func(machines.Machine) engine.Role
	idle     func(seconds float64)
	kick     chan struct{}

	mutex      sync.Mutex
	fenced     bool
	epoch      uint64
	sequence   uint64
	unresolved bool
	state      engine.State
	stateAt    time.Time
	reachable  bool
	ledger     *ledger.Ledger
	wishes     map[string]*wish
	watchers   map[string]string
	reported   map[string]wire.ReplicaState
	failures   int
	// lastUse is when units that are gone were used last, readySince when units
	// that are ready became so.
	lastUse    map[string]time.Time
	readySince map[string]time.Time

	// permitMutex guards held, the units whose loads have a permit of the weight
	// store. It may be taken with mutex held, never the other way round.
	permitMutex sync.Mutex
	held        map[string]struct{}
}

const (
	busyInterval  = 100 * time.Millisecond
	retryInterval = 300 * time.Millisecond
	loadPatience  = 10 * time.Minute
	stepDownWait  = time.Second
)

// run is the owner's loop. It ends with ctx.
func (o *owner) run(ctx context.Context, idleInterval time.Duration) {
	for ctx.Err() == nil {
		wait := o.step(ctx, idleInterval)
		o.reportChanges()
		select {
		case <-ctx.Done():
		case <-o.kick:
		case <-time.After(wait):
		}
	}
	o.releasePermits(func(string) bool { return false })
}

// step does one round of work and returns how long to wait before the next.
func (o *owner) step(ctx context.Context, idleInterval time.Duration) time.Duration {
	if !o.isFenced() {
		if err := o.fence(ctx); err != nil {
			return o.failed(err)
		}
	}
	if err := o.refresh(ctx); err != nil {
		return o.failed(err)
	}
	o.succeeded()
	busy := false
	for _, order := range o.plan(time.Now()) {
		busy = true
		if order.Kind == engine.OrderLoad && !o.permitted(ctx, order) {
			continue // the next round asks again
		}
		if err := o.send(ctx, order); err != nil {
			return o.failed(err)
		}
	}
	o.confirmRevocations()
	if busy || o.inTransition() {
		return busyInterval
	}
	return idleInterval
}

func (o *owner) isFenced() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.fenced
}

// fence takes the runner over: it raises the epoch at the runner, after which
// orders of earlier owners are refused, and only then reads what is loaded.
func (o *owner) fence(ctx context.Context) error {
	before, err := o.control.State(ctx)
	if err != nil {
		return err
	}
	if before.Incarnation != o.machine.Incarnation {
		return o.problem(fault.CodeStaleIncarnation, "fence runner", "it runs as incarnation "+before.Incarnation)
	}
	order := engine.Order{Kind: engine.OrderFence, Epoch: before.Epoch + 1, Incarnation: o.machine.Incarnation, Owner: o.node}
	state, err := o.control.Send(ctx, order)
	if err != nil {
		return err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.fenced = true
	o.epoch = order.Epoch
	o.sequence = 0
	o.unresolved = false
	o.ledger = ledger.New(state.MemoryMiB)
	o.ledger.Confirm(memoryByUnit(state))
	o.setState(state)
	o.log.Add("replica/"+o.machine.Name, "fence runner", "took the runner over", o.catalog.Revision())
	o.logger.Info("runner taken over", "step", "fence runner", "peer", o.machine.Name, "epoch", o.epoch)
	return nil
}

// problem is an error that arose at the runner.
func (o *owner) problem(code fault.Code, step, message string) error {
	return &fault.Error{Code: code, Step: step, Peer: o.machine.Name, Ran: fault.NotDone, Message: message}
}

// refresh reads the runner's state. After an order whose outcome is unknown it
// sends a barrier first, so that the order can no longer take effect later.
func (o *owner) refresh(ctx context.Context) error {
	o.mutex.Lock()
	unresolved := o.unresolved
	o.mutex.Unlock()
	if unresolved {
		return o.send(ctx, engine.Order{Kind: engine.OrderBarrier})
	}
	state, err := o.control.State(ctx)
	if err != nil {
		return err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if state.Incarnation != o.machine.Incarnation {
		o.fenced = false
		return o.problem(fault.CodeStaleIncarnation, "read engine state", "it was restarted")
	}
	if state.Epoch > o.epoch {
		o.fenced = false
		return o.problem(fault.CodeStaleEpoch, "read engine state", "it is owned by "+state.Owner)
	}
	if state.Sequence < o.sequence {
		return nil // a report from before the last order
	}
	o.setState(state)
	o.releaseGone(state)
	return nil
}

// releaseGone frees the memory of units that a report, current as of the last
// order, no longer has. It is called with the mutex held.
func (o *owner) releaseGone(state engine.State) {
	o.ledger.Confirm(memoryByUnit(state))
	o.releasePermits(func(unit string) bool {
		loading, present := state.Find(unit)
		return present && loading.State == engine.UnitLoading
	})
}

func memoryByUnit(state engine.State) map[string]int64 {
	memory := make(map[string]int64, len(state.Units))
	for _, unit := range state.Units {
		memory[unit.Name] = unit.MemoryMiB
	}
	return memory
}

// setState is called with the mutex held.
func (o *owner) setState(state engine.State) {
	o.observeUse(state)
	o.state = state
	o.stateAt = time.Now()
	o.noteReady(state)
	o.reachable = true
}

// noteReady keeps since when units are ready. It is called with the mutex held.
func (o *owner) noteReady(state engine.State) {
	ready := make(map[string]time.Time)
	for _, unit := range state.Units {
		if unit.State != engine.UnitReady {
			continue
		}
		since, known := o.readySince[unit.Name]
		if !known {
			since = time.Now()
		}
		ready[unit.Name] = since
	}
	o.readySince = ready
}

// observeUse counts idle time since the last report and learns the gaps between
// uses. It is called with the mutex held, before the new state is set.
func (o *owner) observeUse(state engine.State) {
	if o.stateAt.IsZero() {
		return
	}
	since := time.Since(o.stateAt)
	for _, before := range o.state.Units {
		after, present := state.Find(before.Name)
		if !present {
			o.lastUse[before.Name] = time.Now().Add(-time.Duration(before.LastUsedAgo)*time.Millisecond - since)
		}
		wasIdle := before.State == engine.UnitReady && before.Active == 0
		if !present || !wasIdle {
			continue
		}
		if after.Active == 0 {
			o.idle(since.Seconds())
		}
		gap := time.Duration(before.LastUsedAgo)*time.Millisecond + since
		if after.Active > 0 || after.LastUsedAgo < before.LastUsedAgo {
			o.keep.ObserveGap(before.Name, gap)
		}
	}
}

// send numbers an order and sends it. Memory for a load is reserved before and
// stays reserved while the outcome is unknown.
func (o *owner) send(ctx context.Context, order engine.Order) error {
	o.mutex.Lock()
	if order.Kind == engine.OrderLoad {
		if err := o.ledger.Reserve(order.Unit, order.MemoryMiB); err != nil {
			o.mutex.Unlock()
			return err
		}
	}
	o.sequence++
	order.Epoch, order.Sequence, order.Incarnation, order.Owner = o.epoch, o.sequence, o.machine.Incarnation, o.node
	o.unresolved = true
	o.mutex.Unlock()
	state, err := o.control.Send(ctx, order)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err == nil {
		o.unresolved = false
		o.setState(state)
		o.releaseGone(state)
		o.note(order, "done")
		return nil
	}
	o.note(order, err.Error())
	if fault.OutcomeOf(err) == fault.NotDone {
		o.unresolved = false
		o.refused(order, err)
	}
	return err
}

// refused undoes what was prepared for an order that the runner did not carry
// out. It is called with the mutex held.
func (o *owner) refused(order engine.Order, err error) {
	if fault.IsCode(err, fault.CodeStaleEpoch) || fault.IsCode(err, fault.CodeStaleIncarnation) {
		o.fenced = false
	}
	if order.Kind != engine.OrderLoad {
		return
	}
	o.releasePermits(func(unit string) bool { return unit != order.Unit })
	if _, present := o.state.Find(order.Unit); !present {
		o.ledger.Release(order.Unit)
	}
	if fault.IsCode(err, fault.CodeStaleGrant) {
		delete(o.wishes, order.Unit)
	}
}

func (o *owner) note(order engine.Order, result string) {
	if order.Kind == engine.OrderBarrier {
		return
	}
	subject := "replica/" + o.machine.Name
	if order.Unit != "" {
		subject = "model/" + order.Unit
	}
	o.log.Add(subject, "order "+string(order.Kind), "runner "+o.machine.Name+": "+result, o.catalog.Revision())
}

func (o *owner) failed(err error) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.failures++
	if o.failures >= unreachableAfter {
		o.reachable = false
	}
	if o.failures == 1 {
		failure := fault.From(err, "drive runner")
		o.logger.Info("runner step failed", "step", failure.Step, "peer", o.machine.Name, "error", err.Error())
	}
	if !o.fenced {
		return stepDownWait
	}
	return retryInterval
}

// unreachableAfter is how many steps in a row fail before the runner is reported
// as unreachable.
const unreachableAfter = 2

func (o *owner) succeeded() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.failures = 0
}

func (o *owner) inTransition() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, unit := range o.state.Units {
		if unit.State != engine.UnitReady {
			return true
		}
	}
	now := time.Now()
	for name, wish := range o.wishes {
		unit, present := o.state.Find(name)
		if (!present || unit.State != engine.UnitReady) && now.Before(wish.loadUntil) {
			return true
		}
	}
	return o.unresolved
}
