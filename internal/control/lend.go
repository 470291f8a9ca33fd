package control

import (
	"time"

	"lilacvane/internal/wire"
)

// mostPermitsWanted bounds for how many runners one report is lent permits: more than a
// node's requests that wait at once could need.
const mostPermitsWanted = 64

// lend lends permits for cold runners, by the account of this lease. Like an order it is
// an act under the lease. A lease that was lost and taken again has no account before the
// next tick: another holder may have lent meanwhile. mutex is held.
func (c *Controller) lend(request wire.SyncRequest, now time.Time) []wire.PermitsLent {
	if len(request.Permits) == 0 || c.Terms == nil {
		return nil
	}
	terms := c.Terms(c.Service)
	if token, acts := c.Lessor.Act(); !acts || token != c.token || terms.Rate == 0 {
		return nil
	}
	lent := make([]wire.PermitsLent, 0, min(len(request.Permits), mostPermitsWanted))
	for _, wanted := range request.Permits[:min(len(request.Permits), mostPermitsWanted)] {
		if !c.Fleet.Known(wanted.Runner) {
			continue
		}
		count, next := c.lender.Lend(wanted.Runner, wanted.Count, terms.Bound, now)
		lent = append(lent, wire.PermitsLent{Runner: wanted.Runner, Count: count, NextMs: next.Milliseconds()})
	}
	return lent
}
