package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
)

func testEngine() *config.Engine {
	engine := &config.Engine{Slots: 4, ModelMemory: 100, AdapterSlots: 2, LoadsPerSecond: 4, Models: make(map[string]*config.Model)}
	for index := range 5 {
		name := fmt.Sprintf("m%d", index)
		engine.Models[name] = &config.Model{Name: name, Size: 40, AdapterSize: 5, Active: true, MaximumReplicas: config.Unlimited}
	}
	return engine
}

// TestAdapterInUseIsUnloadedLater checks that an adapter whose unload waits for requests keeps
// its slot, and that the runner gets no other order until it has reported its sequence number.
// The next order used to expect a number that the runner did not have.
func TestAdapterInUseIsUnloadedLater(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(backend.Runner{ID: "r"})
	holding := []backend.Holding{{Model: "m0", Adapters: []string{"a1", "a2"}}}
	ledger.Reported(backend.Report{Models: holding, Sequence: 3}, now, now)
	unit := backend.Unit{Model: "m0", Adapter: "a1"}
	other := backend.Unit{Model: "m0", Adapter: "a3"}
	order := ledger.Begin(backend.Unload, unit, "node", 1)
	ledger.End(order, backend.Accepted, now, now)
	assert.Assert(t, !ledger.MayOrder(other, now.Add(time.Hour)))
	assert.Equal(t, ledger.FreeAdapterSlots(testEngine()), 0)
	now = now.Add(time.Second)
	ledger.Reported(backend.Report{Models: holding, Sequence: 4}, now, now)
	assert.Assert(t, ledger.Models()["m0"].Adapters["a1"].Unloading)
	assert.Assert(t, ledger.MayOrder(other, now))
	holding[0].Adapters = []string{"a2"}
	ledger.Reported(backend.Report{Models: holding, Sequence: 5}, now, now)
	assert.Equal(t, ledger.FreeAdapterSlots(testEngine()), 1)
	order = ledger.Begin(backend.Unload, backend.Unit{Model: "m0", Adapter: "a2"}, "node", 1)
	ledger.End(order, backend.AlreadyHeld, now, now)
	assert.Equal(t, ledger.FreeAdapterSlots(testEngine()), 2)
	assert.Assert(t, ledger.MayOrder(other, now))
}

// fakeRunner accepts orders like the platform's runners: by expected sequence number and one
// model at a time. Some orders get no answer and some arrive late.
type fakeRunner struct {
	engine   *config.Engine
	sequence uint64
	busy     bool
	models   map[string]map[string]bool
	loading  string
	late     []backend.Order
}

func (r *fakeRunner) take(t *rapid.T, order backend.Order) backend.Verdict {
	if order.Expected != r.sequence {
		return backend.Conflict
	}
	if order.Unit.Adapter != "" {
		return r.takeAdapter(t, order)
	}
	if r.busy {
		return backend.Conflict
	}
	held := r.models[order.Unit.Model] != nil
	if (order.Action == backend.Load) == held {
		return backend.AlreadyHeld
	}
	r.sequence++
	if order.Action == backend.Load {
		r.models[order.Unit.Model] = make(map[string]bool)
		r.loading, r.busy = order.Unit.Model, true
	} else {
		delete(r.models, order.Unit.Model)
	}
	r.check(t, order)
	return backend.Accepted
}

func (r *fakeRunner) takeAdapter(t *rapid.T, order backend.Order) backend.Verdict {
	adapters := r.models[order.Unit.Model]
	if adapters == nil || r.loading == order.Unit.Model {
		return backend.Refused
	}
	if order.Action == backend.Unload {
		r.sequence++
		delete(adapters, order.Unit.Adapter)
		return backend.AlreadyHeld
	}
	if adapters[order.Unit.Adapter] {
		return backend.AlreadyHeld
	}
	r.sequence++
	adapters[order.Unit.Adapter] = true
	r.check(t, order)
	return backend.Accepted
}

// check fails if an order exceeded the memory or the adapter slots.
func (r *fakeRunner) check(t *rapid.T, order backend.Order) {
	used, places := 0.0, 0
	for model, adapters := range r.models {
		used += r.engine.Models[model].Size + float64(len(adapters))*r.engine.Models[model].AdapterSize
		places += len(adapters)
	}
	if used > r.engine.ModelMemory || places > r.engine.AdapterSlots {
		t.Fatalf("%+v overcommits: %g MB, %d adapters", order, used, places)
	}
}

func (r *fakeRunner) report() backend.Report {
	report := backend.Report{Busy: r.busy, Sequence: r.sequence}
	for model, adapters := range r.models {
		if model == r.loading {
			continue
		}
		holding := backend.Holding{Model: model}
		for adapter := range adapters {
			holding.Adapters = append(holding.Adapters, adapter)
		}
		report.Models = append(report.Models, holding)
	}
	return report
}

// TestOrdersNeverOvercommit checks that an order allowed by the ledger never exceeds a
// runner's memory or adapter slots, whichever answers are lost and however late orders and
// reports arrive.
func TestOrdersNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := testEngine()
		runner := &fakeRunner{engine: engine, models: make(map[string]map[string]bool)}
		ledger := NewLedger(backend.Runner{ID: "r"})
		now := time.Unix(1000, 0)
		type past struct {
			at     time.Time
			report backend.Report
		}
		reports := []past{{now, runner.report()}}
		ledger.Reported(runner.report(), now, now)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"order", "order", "report", "report", "listed", "loaded", "late"}).Draw(t, "what") {
			case "order":
				unit := backend.Unit{Model: fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(t, "model"))}
				if rapid.Bool().Draw(t, "adapter") {
					unit.Adapter = fmt.Sprintf("a%d", rapid.IntRange(0, 2).Draw(t, "name"))
				}
				giveOrder(t, ledger, runner, engine, unit, now)
			case "listed":
				// The platform's list is older still.
				index := rapid.IntRange(0, len(reports)-1).Draw(t, "row")
				row := reports[index].report
				ledger.Listed(backend.Runner{ID: "r", Models: row.Models, Sequence: row.Sequence}, now)
			case "report":
				// A report is as old as the lag allows, and some are older.
				lag := now.Add(-time.Duration(rapid.IntRange(0, 140).Draw(t, "lag")) * time.Millisecond)
				index := len(reports) - 1
				for index > 0 && reports[index].at.After(lag) {
					index--
				}
				ledger.Reported(reports[index].report, now, now)
			case "loaded":
				runner.busy, runner.loading = false, ""
			case "late":
				if len(runner.late) > 0 {
					runner.take(t, runner.late[0])
					runner.late = runner.late[1:]
				}
			}
			reports = append(reports, past{now, runner.report()})
		}
	})
}

func giveOrder(t *rapid.T, ledger *Ledger, runner *fakeRunner, engine *config.Engine, unit backend.Unit, now time.Time) {
	action := rapid.SampledFrom([]backend.Action{backend.Load, backend.Load, backend.Unload}).Draw(t, "action")
	held := ledger.Models()[unit.Model]
	if !ledger.MayOrder(unit, now) || (held != nil && held.Loading) {
		return
	}
	if action == backend.Load {
		if unit.Adapter == "" && (held != nil || ledger.FreeMemory(engine) < 40) {
			return
		}
		if unit.Adapter != "" && (held == nil || held.Adapters[unit.Adapter] != nil || ledger.FreeAdapterSlots(engine) < 1 || ledger.FreeMemory(engine) < 5) {
			return
		}
	} else if held == nil || (unit.Adapter != "" && held.Adapters[unit.Adapter] == nil) {
		return
	}
	order := ledger.Begin(action, unit, "node", 1)
	verdict := backend.Lost
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "never"}).Draw(t, "fate") {
	case "answered":
		verdict = runner.take(t, order)
	case "lost":
		runner.take(t, order)
	case "late":
		runner.late = append(runner.late, order)
	}
	ledger.End(order, verdict, now, now)
}

// TestLostOrderCounts checks that an unanswered order occupies memory until another one was
// accepted in its place.
func TestLostOrderCounts(t *testing.T) {
	engine := testEngine()
	now := time.Unix(1000, 0)
	ledger := NewLedger(backend.Runner{ID: "r"})
	ledger.Reported(backend.Report{}, now, now)
	order := ledger.Begin(backend.Load, backend.Unit{Model: "m0"}, "node", 1)
	assert.Equal(t, ledger.Sending(), "m0")
	assert.Equal(t, ledger.FreeMemory(engine), 60.0)
	ledger.End(order, backend.Lost, now, now)
	assert.Equal(t, ledger.FreeMemory(engine), 60.0)
	assert.DeepEqual(t, ledger.Uncertain(), []string{"m0"})
	assert.Assert(t, !ledger.MayOrder(backend.Unit{Model: "m1"}, now), "an order was allowed before a new report")
	later := now.Add(time.Second)
	ledger.Reported(backend.Report{}, later, later)
	assert.Assert(t, ledger.MayOrder(backend.Unit{Model: "m1"}, later))
	assert.Equal(t, ledger.FreeMemory(engine), 60.0, "the unanswered order may still take effect")
	next := ledger.Begin(backend.Load, backend.Unit{Model: "m1"}, "node", 1)
	ledger.End(next, backend.Accepted, later, later)
	assert.Equal(t, ledger.FreeMemory(engine), 60.0, "the unanswered order can no longer take effect")
	assert.Equal(t, len(ledger.Uncertain()), 0)
}

// TestListedRunnerIsConfirmedFirst checks that an order waits for a report, because the
// platform's list leaves out adapters that are still loading. Adapters used to be ordered
// beyond a runner's slots because of the list.
func TestListedRunnerIsConfirmedFirst(t *testing.T) {
	engine := testEngine()
	now := time.Unix(1000, 0)
	ledger := NewLedger(backend.Runner{ID: "r"})
	row := backend.Runner{ID: "r", Sequence: 4, Models: []backend.Holding{{Model: "m0", Adapters: []string{"a0"}}}}
	ledger.Listed(row, now)
	assert.Assert(t, ledger.Known())
	assert.Assert(t, ledger.MayOrder(backend.Unit{Model: "m0", Adapter: "a1"}, now), "a listed runner may be planned with")
	assert.Equal(t, ledger.FreeAdapterSlots(engine), 1)
	assert.Assert(t, !ledger.EnsureReport(now))
	assert.Assert(t, ledger.WantsReport(now))
	report := backend.Report{Sequence: 4, Models: row.Models, Pending: []backend.Unit{{Model: "m0", Adapter: "a1"}}}
	ledger.Reported(report, now, now)
	assert.Assert(t, ledger.EnsureReport(now))
	assert.Equal(t, ledger.FreeAdapterSlots(engine), 0)
	ledger.Listed(row, now.Add(time.Second)) // the list is behind the ledger
	assert.Equal(t, ledger.FreeAdapterSlots(engine), 0)
}

// TestBusyRunnerOfEarlierHolder checks that a runner busy with an order of an earlier lease
// holder, which reports only that it is busy, is not confirmed and gets no adapter orders
// until it is idle again.
func TestBusyRunnerOfEarlierHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(backend.Runner{ID: "r"})
	ledger.Reported(backend.Report{Sequence: 1, Busy: true, Models: []backend.Holding{{Model: "m0"}}}, now, now)
	assert.Assert(t, !ledger.Confirmed())
	assert.Assert(t, !ledger.MayOrder(backend.Unit{Model: "m0", Adapter: "a0"}, now))
	ledger.Reported(backend.Report{Sequence: 1, Models: []backend.Holding{{Model: "m0"}, {Model: "m1"}}}, now, now)
	assert.Assert(t, ledger.Confirmed())
	assert.Assert(t, ledger.MayOrder(backend.Unit{Model: "m0", Adapter: "a0"}, now))
}
