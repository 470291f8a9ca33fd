package control

import (
	"context"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
)

const (
	// OrderMargin is how long an order may take to arrive: none is sent if the lease may end
	// sooner.
	OrderMargin = 400 * time.Millisecond
	// orderTimeout is how long to wait for the answer to an order. Runners answer at once,
	// before they carry the order out; if no answer comes, a report shows the outcome.
	orderTimeout = 150 * time.Millisecond
)

// execute sends the orders of a plan. The caller holds mutex.
func (c *Controller) execute(ctx context.Context, plan scheduler.Plan) {
	chains := make(map[string][]scheduler.Step)
	for _, step := range plan.Steps {
		chains[step.Runner] = append(chains[step.Runner], step)
	}
	for runner, steps := range chains {
		ledger := c.ledgers[runner]
		order, ok := c.beginOrder(ledger, steps[0])
		if !ok {
			continue
		}
		c.inFlight.Add(1)
		go c.sendOrders(ctx, c.token, ledger, order, steps)
	}
}

// beginOrder records that a step is being sent. It checks the lease, right before sending.
// The caller holds mutex.
func (c *Controller) beginOrder(ledger *orders.Ledger, step scheduler.Step) (backend.Order, bool) {
	if !c.mayOrder(ledger, step.Action) {
		return backend.Order{}, false
	}
	if !ledger.EnsureReport(time.Now()) {
		c.Wake()
		return backend.Order{}, false
	}
	token, ok := c.Elector.Act()
	if !ok || token != c.token || !ledger.MayOrder(step.Unit, time.Now()) {
		return backend.Order{}, false
	}
	if step.FromStore && (c.store.Free() == 0 || !c.limiter.Allow()) {
		return backend.Order{}, false
	}
	return ledger.Begin(step.Action, step.Unit, c.Node, token), true
}

// sendOrders sends a runner's orders one after the other, as long as each is accepted.
func (c *Controller) sendOrders(ctx context.Context, token uint64, ledger *orders.Ledger, order backend.Order, steps []scheduler.Step) {
	defer c.inFlight.Done()
	for i := range steps {
		if !c.sendOrder(ctx, token, ledger, order, steps[i]) || i+1 == len(steps) {
			break
		}
		c.mutex.Lock()
		next, ok := c.beginOrder(ledger, steps[i+1])
		c.mutex.Unlock()
		if !ok {
			break
		}
		order = next
	}
	c.Wake()
}

// sendOrder sends one order and records its outcome. It reports whether the runner accepted
// the order or answered AlreadyHeld.
func (c *Controller) sendOrder(ctx context.Context, token uint64, ledger *orders.Ledger, order backend.Order, step scheduler.Step) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.mutex.Lock()
	runner := ledger.Runner
	c.mutex.Unlock()
	start := time.Now()
	verdict, err := c.Runners.Order(ctx, runner, order)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ledger.End(order, verdict, now, now.Add(step.Expected))
	if c.token == token {
		if step.FromStore && verdict == backend.Accepted {
			c.beginLoad(runner.ID, step, now)
		}
		c.publishLedger(ledger)
	}
	fields := []any{"runner", runner.ID, "action", string(order.Action), "unit", order.Unit.String(), "expected", order.Expected,
		"token", order.Token, "verdict", verdict.String(), "reason", step.Reason, "fromStore", step.FromStore,
		"dueMs", step.Expected.Milliseconds(), "elapsedMs", now.Sub(start).Milliseconds()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	c.Log.Info("order", fields...)
	what := string(order.Action) + " " + order.Unit.String() + " at " + runner.ID + ": " + verdict.String() + " (" + step.Reason + ")"
	c.RecordDecision("model/"+c.objectName(order.Unit.Model), "order "+string(order.Action), what)
	c.RecordDecision("replica/"+runner.Name(), "order "+string(order.Action), what)
	return verdict == backend.Accepted || verdict == backend.AlreadyHeld
}

// objectName returns the name by which operators know the weights: that of their model, or
// the weights' own if they belong to none of the operators' models.
func (c *Controller) objectName(weights string) string {
	if engine := c.engine(); engine != nil && engine.Models[weights] != nil {
		return nameOf(engine.Models[weights])
	}
	return weights
}
