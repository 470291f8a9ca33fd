package node

import (
	"context"
	"math"
	"sync"
	"time"

	"lilacvane/internal/config"
	"lilacvane/internal/control"
	"lilacvane/internal/fault"
	"lilacvane/internal/lease"
	"lilacvane/internal/peer"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	leasePrefix      = "control."
	leaseValidity    = 2 * time.Second
	leaseInterval    = 500 * time.Millisecond
	leaseCallTimeout = 800 * time.Millisecond
	// turnGapMargin is added to the configured gap between the orders of two nodes.
	turnGapMargin  = 150 * time.Millisecond
	releaseTimeout = 600 * time.Millisecond
)

// controls manages this node's participation in the control of each engine service.
type controls struct {
	node *Node
	ctx  context.Context
	end  context.CancelFunc
	work sync.WaitGroup

	mutex    sync.Mutex
	services map[string]*serviceControl
}

// serviceControl holds what controls one service: the elector competes for its control lease, and
// the controller acts while the lease is held.
type serviceControl struct {
	elector    *lease.Elector
	controller *control.Controller
	end        context.CancelFunc
}

func newControls(n *Node) *controls {
	c := &controls{node: n, services: make(map[string]*serviceControl)}
	c.ctx, c.end = context.WithCancel(context.Background())
	peer.Handle(n.peers, wire.MethodSync, c.handleSync)
	peer.Handle(n.peers, wire.MethodFleet, c.handleDescribe)
	peer.Handle(n.peers, wire.MethodLease, c.handleLease)
	return c
}

// follow starts control of services that were added and stops that of services that were removed.
func (c *controls) follow(configuration *config.Configuration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, service := range configuration.Services {
		if service.Engine != nil && c.services[name] == nil {
			c.services[name] = c.start(name)
		}
	}
	for name, running := range c.services {
		service := configuration.Services[name]
		if service == nil || service.Engine == nil {
			running.end()
			delete(c.services, name)
		}
	}
}

func (c *controls) start(service string) *serviceControl {
	n := c.node
	s := n.settings.Load()
	options := lease.Options{
		Validity: leaseValidity, Interval: leaseInterval, TurnGap: s.Lease.TurnGap + turnGapMargin,
		ActMargin: control.OrderMargin, CallTimeout: leaseCallTimeout, TakeoverDelay: n.takeoverDelay, Fit: func(ctx context.Context) bool { return n.reachesRunners(ctx, service) },
		Nodes: n.relay.Nodes, ReadFromPeer: c.peerLeaseReader(service), ReadStoreOnce: !s.Relay.FirstStart, ReadAtStart: !s.Relay.FirstStart,
	}
	ctx, end := context.WithCancel(c.ctx)
	var syncer *control.Syncer
	options.HolderAnswered = func() bool { return syncer.HolderAnswered() }
	elector := lease.New(n.leases, leasePrefix+service, s.Node, s.Listen.PeerAddress(), n.process, options, n.log.Logger)
	controller := control.NewController(control.Options{
		Service: service, Node: s.Node, Elector: elector, Runners: n.platform.Control, Fleet: n.fleet, Rules: placementRules{(*operatorRules)(n)}, Reach: n.reach, Allowance: n.load.Allowance, CheckPath: n.checkPath, Statements: n.statements, StatementExchange: (*statementExchange)(n), NeedList: n.requireFullList, ListRevision: n.followers.runners.AppliedRevision, Configuration: n.configuration.Load,
		Policies: n.policies, Sleeper: newSleeper(s.Sleep, n.policies.Zone()), ObserveLoad: n.metrics.ObserveLoad, CountInvalidReport: n.metrics.CountInvalidReport, Divide: n.limits.divide, CountCrashes: n.quarantine.AddReport, Terms: n.coldTerms, RecordDecision: n.recordDecision, Log: n.log.Logger,
	})
	self := wire.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: s.Listen.PeerAddress()}
	syncer = control.NewSyncer(service, self, s.Capacity.Spare(), elector, controller, n.client, n.demand, n.fleet, n.limits.forService(service), n.quarantine.ReportsFor(service), (*statementExchange)(n), n.observeFleet, n.log.Logger)
	c.work.Go(func() { elector.Run(ctx) })
	c.work.Go(func() { controller.Run(ctx) })
	c.work.Go(func() { syncer.Run(ctx) })
	return &serviceControl{elector: elector, controller: controller, end: end}
}

// countHeld returns how many control leases this node holds.
func (c *controls) countHeld() int {
	held := 0
	for _, s := range c.all() {
		if s.elector.Holds() {
			held++
		}
	}
	return held
}

// sumStores sums a value over the weight stores of the services that this node controls.
func (c *controls) sumStores(value func(wire.StoreStatus) float64) float64 {
	sum := 0.0
	for _, s := range c.all() {
		if status, holds := s.controller.Store(); holds {
			sum += value(status)
		}
	}
	return sum
}

// observeFleet passes what is known about the fleet's nodes to all components.
func (n *Node) observeFleet(observed control.Observed) {
	n.nodes.Store(int64(observed.Nodes))
	n.dispatcher.SetNodes(observed.Nodes)
	n.relay.SetNodes(observed.Nodes)
	n.relay.SetStandbys(observed.Standbys)
	if len(observed.Standbys) > 0 && observed.Holder != "" {
		n.origins.SetKeepers(append([]string{observed.Holder}, observed.Standbys...))
	}
	n.quarantine.SetNodes(observed.Nodes, observed.Standbys, observed.Neighbors)
	n.claims.SetPeers(observed.Neighbors)
	n.setTunnelPeers(observed.TunnelPeers)
	n.bestSpare.Store(math.Float64bits(observed.BestSpare))
}

const (
	// leaseReadTimeout bounds reading a lease's row from another node.
	leaseReadTimeout = 300 * time.Millisecond
	// leaseFallbackDelay is how long a node goes without an answer from its peers before it reads
	// the lease's row from the store. It allows for several attempts, each at another node.
	leaseFallbackDelay = 2 * time.Second
)

// peerLeaseReader returns a function that reads a service's lease from another node. A node that
// reads the store itself does not ask peers. The function must be used by one goroutine only.
func (c *controls) peerLeaseReader(service string) func(context.Context) ([]byte, table.Revision, bool) {
	lastAnswer := time.Now()
	return func(ctx context.Context) ([]byte, table.Revision, bool) {
		address := c.node.relay.LeaseQueryPeer()
		if address == "" {
			return nil, 0, false
		}
		ctx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
		defer cancel()
		request := wire.LeaseRequest{Service: service, Spare: c.node.settings.Load().Capacity.Spare()}
		var response wire.LeaseResponse
		if err := c.node.client.Call(ctx, address, wire.MethodLease, request, &response); err != nil {
			c.node.log.Info("lease not told by a peer", "service", service, "peer", address, "error", err.Error())
			return nil, 0, time.Since(lastAnswer) < leaseFallbackDelay
		}
		lastAnswer = time.Now()
		if response.Free {
			return nil, 0, false
		}
		return response.Value, table.NewRevision(response.Epoch, response.Revision), true
	}
}

// handleLease returns this node's copy of a lease's row. The lease is reported as free if no holder
// is known and the caller has at least as much spare capacity as this node.
func (c *controls) handleLease(_ context.Context, request wire.LeaseRequest) (wire.LeaseResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.LeaseResponse{}, nil
	}
	value, revision, err := s.elector.Row()
	_, held := s.elector.Holder()
	free := !held && request.Spare >= c.node.settings.Load().Capacity.Spare()
	return wire.LeaseResponse{Value: value, Revision: revision.Number(), Epoch: revision.Epoch(), Free: free}, err
}

func (c *controls) get(service string) *serviceControl {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.services[service]
}

// holds reports whether this node holds the control lease of a service.
func (c *controls) holds(service string) bool {
	s := c.get(service)
	return s != nil && s.elector.Holds()
}

// term returns this node's tenure of the control lease of a service.
func (c *controls) term(service string) lease.Term {
	if s := c.get(service); s != nil {
		return s.elector.Term()
	}
	return lease.Term{}
}

func (c *controls) all() map[string]*serviceControl {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	copied := make(map[string]*serviceControl, len(c.services))
	for name, s := range c.services {
		copied[name] = s
	}
	return copied
}

// handleSync handles another node's sync with the lease holder.
func (c *controls) handleSync(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "service %s is not known", request.Service)
	}
	return s.controller.Sync(ctx, request)
}

// handleDescribe describes a service's fleet to another node.
func (c *controls) handleDescribe(_ context.Context, request wire.FleetRequest) (wire.FleetResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.FleetResponse{}, fault.New(fault.CodeNotHolder, "describe fleet", "service %s is not known", request.Service)
	}
	return s.controller.Describe()
}

// describeFleet returns the fleet description of a service's lease holder, whichever node that is.
func (c *controls) describeFleet(ctx context.Context, service string) (wire.FleetResponse, error) {
	s := c.get(service)
	if s == nil {
		return wire.FleetResponse{}, fault.New(fault.CodeNotFound, "describe fleet", "no service %s", service)
	}
	if s.elector.Holds() {
		return s.controller.Describe()
	}
	record, known := s.elector.Holder()
	if !known {
		return wire.FleetResponse{}, fault.New(fault.CodeNotHolder, "describe fleet", "no node holds the lease of %s", service)
	}
	var response wire.FleetResponse
	err := c.node.client.Call(ctx, record.Address, wire.MethodFleet, wire.FleetRequest{Service: service}, &response)
	return response, err
}

// wake makes the controllers check the runners again.
func (c *controls) wake() {
	for _, s := range c.all() {
		s.controller.Wake()
	}
}

// reportDemandNow makes the demand of each service, and what is sent with it, be reported at once.
func (c *controls) reportDemandNow() {
	for service := range c.all() {
		c.node.demand.RequestReport(service)
	}
}

// releaseLeases releases all leases, so that other nodes can take over.
func (n *Node) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var releases sync.WaitGroup
	releases.Go(func() { n.relay.Release(ctx) })
	releases.Go(func() { n.controls.release(ctx) })
	releases.Wait()
}

// release releases the control leases.
func (c *controls) release(ctx context.Context) {
	var releases sync.WaitGroup
	for _, s := range c.all() {
		releases.Go(func() { s.elector.Release(ctx) })
	}
	releases.Wait()
}

// stop stops all controllers and waits for them.
func (c *controls) stop() {
	c.end()
	c.work.Wait()
}
