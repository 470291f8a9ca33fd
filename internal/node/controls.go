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
	"lilacvane/internal/wire"
)

const (
	leasePrefix      = "control."
	leaseValidity    = 2 * time.Second
	leaseInterval    = 500 * time.Millisecond
	leaseCallTimeout = 800 * time.Millisecond
	// turnGapMargin is added to the gap between the orders of two nodes.
	turnGapMargin = 150 * time.Millisecond
	releaseLimit  = 600 * time.Millisecond
)

// controls are this node's parts in the control of each service of engines.
type controls struct {
	node *Node
	ctx  context.Context
	end  context.CancelFunc
	work sync.WaitGroup

	mutex    sync.Mutex
	services map[string]*serviceControl
}

type serviceControl struct {
	lessor     *lease.Lessor
	controller *control.Controller
	end        context.CancelFunc
}

func newControls(n *Node) *controls {
	c := &controls{node: n, services: make(map[string]*serviceControl)}
	c.ctx, c.end = context.WithCancel(context.Background())
	peer.Handle(n.peers, wire.MethodSync, c.sync)
	peer.Handle(n.peers, wire.MethodFleet, c.describe)
	peer.Handle(n.peers, wire.MethodLease, c.tellLease)
	return c
}

// follow starts the parts of services that came and ends those that left.
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
		ActMargin: control.OrderMargin, CallTimeout: leaseCallTimeout, Reluctance: n.reluctance,
		Nodes: n.relay.Nodes, Ask: c.askLease(service), LookFirst: !s.Relay.FirstStart, LookAtOnce: !s.Relay.FirstStart,
	}
	ctx, end := context.WithCancel(c.ctx)
	var syncer *control.Syncer
	options.Heard = func() bool { return syncer.Heard() }
	lessor := lease.New(n.platform.Leases, leasePrefix+service, s.Node, s.Listen.PeerAddress(), n.process, options, n.log.Logger)
	controller := control.NewController(control.Options{
		Service: service, Node: s.Node, Lessor: lessor, Runners: n.platform.Control, Fleet: n.fleet, Rules: stayingRules{(*operatorRules)(n)}, Statements: n.statements, Stated: (*stated)(n), NeedList: n.needList, ListRevision: n.knowledge.runners.Taken, Configuration: n.configuration.Load,
		Policies: n.policies, Sleeper: newSleeper(s.Sleep, n.policies.Zone()), ObserveLoad: n.figures.ObserveLoad, Divide: n.limits.divide, Count: n.quarantine.Count, Terms: n.coldTerms, Decide: n.decide, Log: n.log.Logger,
	})
	self := wire.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: s.Listen.PeerAddress()}
	syncer = control.NewSyncer(service, self, s.Capacity.Spare(), lessor, controller, n.client, n.demand, n.fleet, n.limits.of(service), n.quarantine.Of(service), (*stated)(n), n.observeFleet, n.log.Logger)
	c.work.Go(func() { lessor.Run(ctx) })
	c.work.Go(func() { controller.Run(ctx) })
	c.work.Go(func() { syncer.Run(ctx) })
	return &serviceControl{lessor: lessor, controller: controller, end: end}
}

// countHeld is how many control leases this node holds.
func (c *controls) countHeld() int {
	held := 0
	for _, s := range c.all() {
		if s.lessor.Holds() {
			held++
		}
	}
	return held
}

// sumStores sums a figure of the weight stores of the services that this node
// controls.
func (c *controls) sumStores(value func(wire.StoreStatus) float64) float64 {
	sum := 0.0
	for _, s := range c.all() {
		if status, holds := s.controller.Store(); holds {
			sum += value(status)
		}
	}
	return sum
}

// observeFleet tells all parts what is known of the fleet's nodes.
func (n *Node) observeFleet(observed control.Observed) {
	n.nodes.Store(int64(observed.Nodes))
	n.dispatcher.SetNodes(observed.Nodes)
	n.relay.SetNodes(observed.Nodes)
	n.relay.SetStandbys(observed.Standbys)
	n.quarantine.SetCounters(observed.Standbys)
	n.bestSpare.Store(math.Float64bits(observed.BestSpare))
}

const (
	// leaseAskTimeout bounds the question for a lease's row at another node.
	leaseAskTimeout = 300 * time.Millisecond
	// leaseAskPatience is how long a node goes without an answer before it looks at the
	// row in the store: some questions, each at another node.
	leaseAskPatience = 2 * time.Second
)

// askLease returns a function that reads a service's lease from another node; a node
// that turns to the store by itself does not ask. It is for one goroutine.
func (c *controls) askLease(service string) func(context.Context) ([]byte, uint64, bool) {
	told := time.Now()
	return func(ctx context.Context) ([]byte, uint64, bool) {
		informant := c.node.relay.Informant()
		if informant == "" {
			return nil, 0, false
		}
		ctx, cancel := context.WithTimeout(ctx, leaseAskTimeout)
		defer cancel()
		request := wire.LeaseRequest{Service: service, Spare: c.node.settings.Load().Capacity.Spare()}
		var response wire.LeaseResponse
		if err := c.node.client.Call(ctx, informant, wire.MethodLease, request, &response); err != nil {
			c.node.log.Info("lease not told by a peer", "service", service, "peer", informant, "error", err.Error())
			return nil, 0, time.Since(told) < leaseAskPatience
		}
		told = time.Now()
		if response.Free {
			return nil, 0, false
		}
		return response.Value, response.Revision, true
	}
}

// tellLease answers the call of another node.
func (c *controls) tellLease(_ context.Context, request wire.LeaseRequest) (wire.LeaseResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.LeaseResponse{}, nil
	}
	value, revision, err := s.lessor.Row()
	_, held := s.lessor.Holder()
	free := !held && request.Spare >= c.node.settings.Load().Capacity.Spare()
	return wire.LeaseResponse{Value: value, Revision: revision, Free: free}, err
}

func (c *controls) get(service string) *serviceControl {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.services[service]
}

// holds reports whether this node holds the control lease of a service.
func (c *controls) holds(service string) bool {
	s := c.get(service)
	return s != nil && s.lessor.Holds()
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

// sync answers the call of another node.
func (c *controls) sync(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "service %s is not known", request.Service)
	}
	return s.controller.Sync(ctx, request)
}

// describe answers the call of another node.
func (c *controls) describe(_ context.Context, request wire.FleetRequest) (wire.FleetResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.FleetResponse{}, fault.New(fault.CodeNotHolder, "describe fleet", "service %s is not known", request.Service)
	}
	return s.controller.Describe()
}

// ask returns the account of a service's lease holder, wherever it is.
func (c *controls) ask(ctx context.Context, service string) (wire.FleetResponse, error) {
	s := c.get(service)
	if s == nil {
		return wire.FleetResponse{}, fault.New(fault.CodeNotFound, "describe fleet", "no service %s", service)
	}
	if s.lessor.Holds() {
		return s.controller.Describe()
	}
	record, known := s.lessor.Holder()
	if !known {
		return wire.FleetResponse{}, fault.New(fault.CodeNotHolder, "describe fleet", "no node holds the lease of %s", service)
	}
	var response wire.FleetResponse
	err := c.node.client.Call(ctx, record.Address, wire.MethodFleet, wire.FleetRequest{Service: service}, &response)
	return response, err
}

// wake lets the controllers look at the runners again.
func (c *controls) wake() {
	for _, s := range c.all() {
		s.controller.Wake()
	}
}

// nudge lets the demand of each service be reported at once, and what travels with it.
func (c *controls) nudge() {
	for service := range c.all() {
		c.node.demand.Nudge(service)
	}
}

// releaseLeases gives all leases back, so that other nodes may go on.
func (n *Node) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	var releases sync.WaitGroup
	releases.Go(func() { n.relay.Release(ctx) })
	releases.Go(func() { n.controls.release(ctx) })
	releases.Wait()
}

// release gives the control leases back.
func (c *controls) release(ctx context.Context) {
	var releases sync.WaitGroup
	for _, s := range c.all() {
		releases.Go(func() { s.lessor.Release(ctx) })
	}
	releases.Wait()
}

// wait ends all parts and waits for them.
func (c *controls) wait() {
	c.end()
	c.work.Wait()
}
