package control

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/wire"
)

const (
	// recentView is how long a change of a runner is told to nodes that did not
	// hear of it; by then the platform's list tells it.
	recentView = 8 * time.Second
	// maximumHoldMs is the longest time, in milliseconds, that a node may have its
	// question held.
	maximumHoldMs = 5000
)

// Sync answers a node's demand with what changed since the account it has.
func (c *Controller) Sync(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	c.mutex.Lock()
	if c.token == 0 {
		c.mutex.Unlock()
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "this node does not hold the lease of %s", request.Service)
	}
	urgent := c.demand.report(request, time.Now())
	if urgent {
		c.noteReport(request.Node)
	}
	urgent = c.suspect(request) || urgent
	c.mutex.Unlock()
	if urgent {
		c.wakeUrgently()
	}
	if request.Poison != nil && c.Count != nil {
		c.Count(*request.Poison)
	}
	if c.Stated != nil {
		c.Stated.Learn(request.Node, request.Leaving, request.Limited)
	}
	c.waitChange(ctx, request)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 {
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "the lease of %s was lost", request.Service)
	}
	response := c.account(request)
	response.Permits = c.lend(request, time.Now())
	if c.Stated != nil {
		response.Leaving, response.Limited = c.Stated.All()
	}
	if request.Limits != nil && response.Valid && c.Divide != nil {
		response.Limits = c.Divide(limit.Report{
			Node: request.Node, Process: request.Limits.Process, Address: request.Address, Region: request.Region, Spare: request.Spare,
			Version: request.Limits.Version, Asked: request.Limits.Asked,
		})
	}
	return response, nil
}

// suspect asks the runners that a node suspects. It returns whether there are any.
// mutex is held.
func (c *Controller) suspect(request wire.SyncRequest) bool {
	asked := false
	for _, id := range request.Suspects {
		if ledger := c.ledgers[id]; ledger != nil && ledger.Suspect(time.Now()) {
			c.Log.Info("runner suspected", "runner", id, "node", request.Node)
			asked = true
		}
	}
	return asked
}

// account lists the runners that changed lately and since the node's account; the
// platform's list tells of the others. mutex is held.
func (c *Controller) account(request wire.SyncRequest) wire.SyncResponse {
	now := time.Now()
	nodes := c.demand.summary(c.Node, now)
	response := wire.SyncResponse{Token: c.token, Version: c.version, Nodes: nodes.count, Valid: c.Lessor.Valid(),
		BestSpare: nodes.bestSpare, StoreLimit: c.store.Estimate().Limit, StoreCapacity: c.store.Estimate().Capacity}
	response.ActsInMs = c.Lessor.ActsIn().Milliseconds()
	if word, ok := c.Lessor.Status(); ok && word.Token == c.token {
		response.LeaseRenewal, response.LeaseYielded, response.LeaseQuietMs = word.Renewal, word.Yielded, word.Quiet.Milliseconds()
	}
	for want, at := range c.planned {
		if !c.demand.waitsFor(request.Node, want.Unit.Model) {
			continue
		}
		response.Planned = append(response.Planned, wire.UnitComing{
			Model: want.Unit.Model, InMs: max(at.Sub(now), 0).Milliseconds(), Homes: want.Homes.Names(), Firm: c.resting[want.Unit.Model],
		})
	}
	if request.Report {
		response.Standbys, response.LoadEnds = nodes.standbys, c.loadEnds(now)
	}
	known := request.Version
	if request.Token != c.token {
		known = 0
	}
	for _, ledger := range c.changedSince(known, now) {
		response.Runners = append(response.Runners, viewOf(ledger.Runner.ID, ledger, now))
	}
	c.listForWaiting(&response, c.waitsFor(request), now)
	return response
}
