package agent

import (
	"context"
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
	leasePrefix      = "lease."
	leaseValidity    = 2 * time.Second
	leaseInterval    = 500 * time.Millisecond
	leaseCallTimeout = 800 * time.Millisecond
	// turnGapMargin is added to the gap between the orders of two nodes.
	turnGapMargin = 150 * time.Millisecond
	releaseLimit  = 600 * time.Millisecond
)

// controls are this node's parts in the control of each service of engines.
type controls struct {
	agent *Agent
	ctx   context.Context
	end   context.CancelFunc
	work  sync.WaitGroup

	mutex    sync.Mutex
	services map[string]*serviceControl
}

type serviceControl struct {
	lessor     *lease.Lessor
	controller *control.Controller
	syncer     *control.Syncer
	end        context.CancelFunc
}

func newControls(a *Agent) *controls {
	c := &controls{agent: a, services: make(map[string]*serviceControl)}
	c.ctx, c.end = context.WithCancel(context.Background())
	peer.Handle(a.peers, wire.MethodSync, c.sync)
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
	a := c.agent
	settings := a.settings.Load()
	options := lease.Options{
		Validity: leaseValidity, Interval: leaseInterval, TurnGap: settings.Lease.TurnGap + turnGapMargin,
		ActMargin: control.OrderTimeout, CallTimeout: leaseCallTimeout,
	}
	ctx, end := context.WithCancel(c.ctx)
	s := &serviceControl{end: end}
	s.lessor = lease.New(a.platform.Leases, leasePrefix+service, settings.Node, settings.Listen.Peers, a.process, options, a.log.Logger)
	s.controller = control.NewController(service, settings.Node, s.lessor, a.platform.Control, a.fleet, a.configuration.Load, a.log.Logger)
	s.syncer = control.NewSyncer(service, settings.Node, s.lessor, s.controller, a.client, a.demand, a.fleet, a.dispatcher.SetNodes, a.log.Logger)
	c.work.Go(func() { s.lessor.Run(ctx) })
	c.work.Go(func() { s.controller.Run(ctx) })
	c.work.Go(func() { s.syncer.Run(ctx) })
	return s
}

func (c *controls) get(service string) *serviceControl {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.services[service]
}

func (c *controls) all() []*serviceControl {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []*serviceControl
	for _, s := range c.services {
		list = append(list, s)
	}
	return list
}

// sync answers the call of another node.
func (c *controls) sync(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	s := c.get(request.Service)
	if s == nil {
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "service %s is not known", request.Service)
	}
	return s.controller.Sync(ctx, request)
}

// wake lets the controllers look at the runners again.
func (c *controls) wake() {
	for _, s := range c.all() {
		s.controller.Wake()
	}
}

// release gives all leases back, so that other nodes may go on.
func (c *controls) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
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
