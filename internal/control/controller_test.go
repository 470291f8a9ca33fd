package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
)

// acceptingRunners accepts every order.
type acceptingRunners struct{}

func (acceptingRunners) Order(context.Context, backend.Runner, backend.Order) (backend.Verdict, error) {
	return backend.Accepted, nil
}

func (acceptingRunners) Report(context.Context, backend.Runner) (backend.Report, error) {
	return backend.Report{}, nil
}

// TestOrderDuringListChange sends an order while the platform's list changes the runner's
// ledger. The race detector reports it if one reads what the other writes.
func TestOrderDuringListChange(t *testing.T) {
	c := NewController(Options{
		Runners: acceptingRunners{}, RecordDecision: func(string, string, string) {}, Log: logr.Discard(),
		Configuration: func() *config.Configuration { return nil },
	})
	runner := backend.Runner{ID: "r"}
	ledger := orders.NewLedger(runner)
	ledger.Reported(backend.Report{}, time.Now(), time.Now())
	step := scheduler.Step{Runner: "r", Action: backend.Load, Unit: backend.Unit{Model: "m"}}
	order := ledger.Begin(step.Action, step.Unit, "node", 1)
	done := make(chan bool)
	go func() { done <- c.sendOrder(t.Context(), 1, ledger, order, step) }()
	c.mutex.Lock()
	ledger.Listed(runner, time.Now())
	c.mutex.Unlock()
	assert.Assert(t, <-done)
}

// TestOrdersAreExplainedByModel checks that decisions are recorded under the name of the
// operators' model, not under the name of the weights of its version.
func TestOrdersAreExplainedByModel(t *testing.T) {
	engine := &config.Engine{Models: map[string]*config.Model{"alpha-v1": {Name: "alpha-v1", Object: "alpha"}}}
	configuration := &config.Configuration{Services: map[string]*config.Service{"s": {Engine: engine}}}
	var subjects []string
	c := NewController(Options{
		Service: "s", Runners: acceptingRunners{}, Log: logr.Discard(),
		RecordDecision: func(subject, _, _ string) { subjects = append(subjects, subject) },
		Configuration:  func() *config.Configuration { return configuration },
	})
	ledger := orders.NewLedger(backend.Runner{ID: "r"})
	ledger.Reported(backend.Report{}, time.Now(), time.Now())
	step := scheduler.Step{Runner: "r", Action: backend.Load, Unit: backend.Unit{Model: "alpha-v1"}}
	assert.Assert(t, c.sendOrder(t.Context(), 1, ledger, ledger.Begin(step.Action, step.Unit, "node", 1), step))
	assert.DeepEqual(t, subjects, []string{"model/alpha", "replica/r"})
}
