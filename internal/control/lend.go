package control

import (
	"math"
	"time"

	"lilacvane/internal/coldstart"
	"lilacvane/internal/wire"
)

// mostPermitsWanted bounds for how many runners one report is lent permits: more than a
// node's requests that wait at once could need.
const mostPermitsWanted = 64

// lend lends permits for runners that are cold or named a limit, by the account of this lease. Like an order it is
// an act under the lease. A lease that was lost and taken again has no account before the
// next tick: another holder may have lent meanwhile. mutex is held.
func (c *Controller) lend(request wire.SyncRequest, now time.Time) []wire.PermitsLent {
	if len(request.Permits) == 0 || c.Terms == nil {
		return nil
	}
	terms := c.Terms(c.Service)
	if token, acts := c.Lessor.Act(); !acts || token != c.token {
		return nil
	}
	lent := make([]wire.PermitsLent, 0, min(len(request.Permits), mostPermitsWanted))
	for _, wanted := range request.Permits[:min(len(request.Permits), mostPermitsWanted)] {
		if !c.Fleet.Known(wanted.Runner) {
			continue
		}
		bounds, bounded := c.boundsOf(wanted, terms)
		if !bounded {
			continue
		}
		count, next := c.lender.LendWithin(wanted.Runner, wanted.Count, bounds.Bound, bounds.Period, now)
		lent = append(lent, wire.PermitsLent{Runner: wanted.Runner, Count: count, NextMs: next.Milliseconds()})
	}
	return lent
}

// boundsOf are the terms by which a runner gets requests: the lowest rate of those that the asking node
// and this one heard, and of a cold one. bounded is false where there is none.
func (c *Controller) boundsOf(wanted wire.PermitsWanted, cold coldstart.Terms) (terms coldstart.Terms, bounded bool) {
	rate := wanted.Rate
	if own := c.Statements.Of(wanted.Runner).Rate; own > 0 && (rate == 0 || own < rate) {
		rate = own
	}
	if !(rate > 0) || math.IsInf(rate, 0) || (cold.Rate > 0 && cold.Rate <= rate) {
		return cold, cold.Rate > 0
	}
	return coldstart.NewLimit(rate, coldstart.Lent{}), true
}
