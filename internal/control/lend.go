package control

import (
	"math"
	"time"

	"lilacvane/internal/coldstart"
	"lilacvane/internal/wire"
)

// maxPermitRunners limits the runners for which one report is lent permits: more than the
// requests waiting at a node at one time could need.
const maxPermitRunners = 64

// lend lends permits for runners that are cold or stated a rate limit, from the permits of
// this lease. Like an order, lending is an act under the lease. After the lease was lost
// and acquired again, nothing is lent before the next tick, because another holder may have
// lent permits in the meantime. The caller holds mutex.
func (c *Controller) lend(request wire.SyncRequest, now time.Time) []wire.PermitsLent {
	if len(request.Permits) == 0 || c.Terms == nil {
		return nil
	}
	terms := c.Terms(c.Service)
	if token, acts := c.Elector.Act(); !acts || token != c.token {
		return nil
	}
	lent := make([]wire.PermitsLent, 0, min(len(request.Permits), maxPermitRunners))
	for _, wanted := range request.Permits[:min(len(request.Permits), maxPermitRunners)] {
		if !c.Fleet.Known(wanted.Runner) {
			continue
		}
		bounds, hasLimit := c.termsFor(wanted, terms)
		if !hasLimit {
			continue
		}
		count, next := c.lender.LendWithin(wanted.Runner, wanted.Count, bounds.Bound, bounds.Period, now)
		lent = append(lent, wire.PermitsLent{Runner: wanted.Runner, Count: count, NextMs: next.Milliseconds()})
	}
	return lent
}

// termsFor returns the terms under which a runner gets requests: the lowest of the rates
// that it stated to the asking node and to this node and, if it is cold, the cold rate.
// hasLimit is false if there is no limit.
func (c *Controller) termsFor(wanted wire.PermitsWanted, cold coldstart.Terms) (terms coldstart.Terms, hasLimit bool) {
	rate := wanted.Rate
	if own := c.Statements.State(wanted.Runner).Rate; own > 0 && (rate == 0 || own < rate) {
		rate = own
	}
	if !(rate > 0) || math.IsInf(rate, 0) || (cold.Rate > 0 && cold.Rate <= rate) {
		return cold, cold.Rate > 0
	}
	return coldstart.NewLimit(rate, coldstart.Lent{}), true
}
