package control

import (
	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/eligible"
	"lilacvane/internal/orders"
	"lilacvane/internal/place"
)

// eligible returns whether a runner may get work for the given purpose now, or why not.
// Only runners on the platform's list have a ledger.
func (c *Controller) eligible(ledger *orders.Ledger, purpose eligible.Purpose) eligible.Reason {
	runner := &ledger.Runner
	stated := c.Statements.State(runner.ID)
	return eligible.Check(c.Rules, &eligible.Runner{
		ID: runner.Name(), Service: runner.Service, Zone: place.Zone(runner.Zone), Region: place.Region(runner.Region),
		Listed: true, Draining: runner.Draining || stated.Leaving, Resting: c.pauseOf(ledger, stated) > 0, Permit: true,
	}, purpose)
}

// mayOrder reports whether an order may be sent to a runner now. It is checked again here
// because the plan may be older than an operator's decision.
func (c *Controller) mayOrder(ledger *orders.Ledger, action backend.Action) bool {
	var purpose eligible.Purpose = eligible.Load{Service: c.Service}
	if action == backend.Unload {
		purpose = eligible.Unload{Service: c.Service}
	}
	return c.eligible(ledger, purpose) == eligible.Yes
}

// mayReport reports whether a runner may be asked for a report. A runner in a zone that is
// out is asked only where replicas are limited, since a runner that does not report may
// hold any model.
func (c *Controller) mayReport(ledger *orders.Ledger, engine *config.Engine) bool {
	question := eligible.LoadQuery{Request: eligible.Request{Service: c.Service}}
	switch c.eligible(ledger, question) {
	case eligible.Draining:
		return false
	case eligible.ZoneOut:
		return engine != nil && engine.Bounded()
	default:
		return true
	}
}
