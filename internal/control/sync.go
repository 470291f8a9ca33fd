package control

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/wire"
)

const (
	// changeLifetime is how long a change of a runner is sent to nodes that have not received
	// it; after that the platform's list shows it.
	changeLifetime = 8 * time.Second
	// maximumHoldMs is the longest time, in milliseconds, for which a node may have its call
	// held.
	maximumHoldMs = 5000
)

// Sync answers a node's report of its demand with what changed since the version that the
// node has.
func (c *Controller) Sync(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	c.mutex.Lock()
	if c.token == 0 {
		c.mutex.Unlock()
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "this node does not hold the lease of %s", request.Service)
	}
	urgent := c.demand.addReport(request, time.Now())
	if urgent {
		c.signalReport(request.Node)
	}
	urgent = c.suspect(request) || urgent
	c.mutex.Unlock()
	if urgent {
		c.wakeUrgently()
	}
	if request.Poison != nil && c.CountCrashes != nil {
		c.CountCrashes(*request.Poison)
	}
	if c.StatementExchange != nil {
		c.StatementExchange.Learn(request.Node, Stated{Leaving: request.Leaving, Limited: request.Limited, Brittle: request.Brittle})
	}
	c.waitForChange(ctx, request)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 {
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "the lease of %s was lost", request.Service)
	}
	response := c.buildResponse(request)
	response.Permits = c.lend(request, time.Now())
	if c.StatementExchange != nil {
		all := c.StatementExchange.All()
		response.Leaving, response.Limited, response.Brittle = all.Leaving, all.Limited, all.Brittle
	}
	if request.Limits != nil && response.Valid && c.Divide != nil {
		response.Limits = c.Divide(limit.Report{
			Node: request.Node, Process: request.Limits.Process, Address: request.Address, Region: request.Region, Spare: request.Spare,
			Version: request.Limits.Version, Asked: request.Limits.Asked,
		})
	}
	return response, nil
}

// suspect marks the runners that a node suspects to be down, so that they are asked for
// reports. It reports whether there are any. The caller holds mutex.
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

// buildResponse lists the runners that changed recently and since the node's version; the
// platform's list covers the others. The caller holds mutex.
func (c *Controller) buildResponse(request wire.SyncRequest) wire.SyncResponse {
	now := time.Now()
	nodes := c.demand.summary(c.Node, now)
	response := wire.SyncResponse{Token: c.token, Version: c.version, Nodes: nodes.count, Valid: c.Elector.Valid(),
		BestSpare: nodes.bestSpare, StoreLimit: c.store.Estimate().Limit, StoreCapacity: c.store.Estimate().Capacity}
	response.ActsInMs = c.Elector.ActsIn().Milliseconds()
	if leaseStatus, ok := c.Elector.Status(); ok && leaseStatus.Token == c.token {
		response.LeaseRenewal, response.LeaseYielded, response.LeaseQuietMs = leaseStatus.Renewal, leaseStatus.Yielded, leaseStatus.Quiet.Milliseconds()
	}
	for want, at := range c.planned {
		if !c.demand.waitsFor(request.Node, want.Unit.Model) {
			continue
		}
		response.Planned = append(response.Planned, wire.PendingUnit{
			Model: want.Unit.Model, InMs: max(at.Sub(now), 0).Milliseconds(), Homes: want.Homes.Names(), Firm: c.pausedModels[want.Unit.Model],
		})
	}
	if request.Report {
		response.Standbys, response.LoadCrashes = nodes.standbys, c.loadCrashCounts(now)
		response.TunnelPeers, response.TunnelRegions = nodes.reaching.tunnelPeers(request)
		response.Neighbors = nodes.changedNeighbors(request)
	}
	known := request.Version
	if request.Token != c.token {
		known = 0
	}
	for _, ledger := range c.changedSince(known, now) {
		response.Runners = append(response.Runners, viewOf(ledger.Runner.ID, ledger, now))
	}
	c.addListedRunners(&response, c.waitingModels(request), now)
	return response
}
