package control

import (
	"context"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
)

const (
	// OrderMargin is how long an order may be on its way: none is sent when the
	// lease may end sooner.
	OrderMargin = 400 * time.Millisecond
	// orderTimeout is how long an answer to an order is waited for. Runners answer
	// at once, before the order is carried out; without an answer a report tells.
	orderTimeout = 150 * time.Millisecond
)

// carryOut sends the orders of a plan. mutex is held.
func (c *Controller) carryOut(ctx context.Context, plan scheduler.Plan) {
	chains := make(map[string][]scheduler.Step)
	for _, step := range plan.Steps {
		chains[step.Runner] = append(chains[step.Runner], step)
	}
	for runner, steps := range chains {
		ledger := c.ledgers[runner]
		order, ok := c.begin(ledger, steps[0])
		if !ok {
			continue
		}
		c.inFlight.Add(1)
		go c.sendChain(ctx, c.token, ledger, order, steps)
	}
}

// begin notes a step as being sent. The lease is checked here, right before.
// mutex is held.
func (c *Controller) begin(ledger *orders.Ledger, step scheduler.Step) (backend.Order, bool) {
	if !c.mayOrder(ledger, step.Action) {
		return backend.Order{}, false
	}
	if !ledger.Confirm(time.Now()) {
		c.Wake()
		return backend.Order{}, false
	}
	token, ok := c.Lessor.Act()
	if !ok || token != c.token || !ledger.MayOrder(step.Unit, time.Now()) {
		return backend.Order{}, false
	}
	if step.FromStore && (c.store.Free() == 0 || !c.limiter.Allow()) {
		return backend.Order{}, false
	}
	return ledger.Begin(step.Action, step.Unit, c.Node, token), true
}

// sendChain sends a runner's orders one after the other, as long as each is
// accepted.
func (c *Controller) sendChain(ctx context.Context, token uint64, ledger *orders.Ledger, order backend.Order, steps []scheduler.Step) {
	defer c.inFlight.Done()
	for i := range steps {
		if !c.send(ctx, token, ledger, order, steps[i]) || i+1 == len(steps) {
			break
		}
		c.mutex.Lock()
		next, ok := c.begin(ledger, steps[i+1])
		c.mutex.Unlock()
		if !ok {
			break
		}
		order = next
	}
	c.Wake()
}

func (c *Controller) send(ctx context.Context, token uint64, ledger *orders.Ledger, order backend.Order, step scheduler.Step) bool {
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
		c.changedView(ledger)
	}
	fields := []any{"runner", runner.ID, "action", string(order.Action), "unit", order.Unit.String(), "expected", order.Expected,
		"token", order.Token, "verdict", verdict.String(), "reason", step.Reason, "fromStore", step.FromStore,
		"dueMs", step.Expected.Milliseconds(), "elapsedMs", now.Sub(start).Milliseconds()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	c.Log.Info("order", fields...)
	what := string(order.Action) + " " + order.Unit.String() + " at " + runner.ID + ": " + verdict.String() + " (" + step.Reason + ")"
	c.Decide("model/"+c.objectOf(order.Unit.Model), "order "+string(order.Action), what)
	c.Decide("replica/"+runner.Name(), "order "+string(order.Action), what)
	return verdict == backend.Accepted || verdict == backend.AlreadyHeld
}

// objectOf is the name by which operators know weights: their model's, or the
// weights' own when no model of theirs has them.
func (c *Controller) objectOf(weights string) string {
	if engine := c.engine(); engine != nil && engine.Models[weights] != nil {
		return nameOf(engine.Models[weights])
	}
	return weights
}
