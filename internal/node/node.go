// Package node assembles the parts of a lilacvane node. All nodes are alike.
package node

import (
	"context"
	"crypto/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/claims"
	"lilacvane/internal/commit"
	"lilacvane/internal/committing"
	"lilacvane/internal/coordinator"
	"lilacvane/internal/decision"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/gateway"
	"lilacvane/internal/grants"
	"lilacvane/internal/machines"
	"lilacvane/internal/membership"
	"lilacvane/internal/metrics"
	"lilacvane/internal/objects"
	"lilacvane/internal/operator"
	"lilacvane/internal/patterns"
	"lilacvane/internal/peer"
	"lilacvane/internal/permits"
	"lilacvane/internal/policy"
	"lilacvane/internal/request"
	"lilacvane/internal/runner"
	"lilacvane/internal/settings"
	"lilacvane/internal/sleep"
	"lilacvane/internal/spread"
	"lilacvane/internal/table"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

const (
	decisionsKept   = 4096
	methodExplain   = "explain"
	methodMachines  = "machines"
	refreshAtMost   = 20 * time.Millisecond
	notReadyRetry   = 2 * time.Second
	drainingRetry   = time.Second
	leaveGrace      = 3 * time.Second
	leavePoll       = 100 * time.Millisecond
	claimsHandover  = 20 * time.Second
	shutdownTimeout = 5 * time.Second
)

// Node is one running node.
type Node struct {
	settings settings.Settings
	logger   logr.Logger

	callersListener   net.Listener
	operatorsListener net.Listener
	peersListener     net.Listener
	socket            net.PacketConn

	traffic    metrics.Traffic
	client     *peer.Client
	peers      *peer.Server
	membership *membership.Membership
	machines   *machines.List
	// platformMachines is the platform's own machine list, which only feeders
	// read; pullingMachines is set while a peer's copy is read.
	platformMachines machines.Source
	pullingMachines  atomic.Bool
	catalog          *catalog.Catalog
	committer        *commit.Committer
	committing       *committing.Service
	spread           *spread.Spreader
	policies         *policy.Set
	keeper           *sleep.Keeper
	coordinator      *coordinator.Coordinator
	manager          *runner.Manager
	claims           *claims.Service
	permits          *permits.Service
	// patterns is nil when there is no object store.
	patterns  *patterns.Saver
	requests  *request.Service
	gateway   *gateway.Server
	operators *operator.Server
	decisions *decision.Log
	metrics   *metrics.Metrics

	// stale holds a token while what is derived from the catalog and the member
	// list is out of date.
	stale chan struct{}
	// ready is set once the configuration has caught up.
	ready atomic.Bool
	// looked is the newest revision that the owners of runners were told of.
	looked atomic.Uint64
	// leaving is when the node began to leave, in Unix nanoseconds; zero: it did
	// not.
	leaving atomic.Int64
}

// New opens the node's sockets and assembles its parts. Nothing runs yet.
func New(s settings.Settings, logger logr.Logger) (*Node, error) {
	n := &Node{
		settings: s, logger: logger.WithValues("node", s.Node), stale: make(chan struct{}, 1),
		traffic: metrics.Traffic{Peers: &traffic.Counter{}, Platform: &traffic.Counter{}, Runners: &traffic.Counter{}},
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.assembleControl()
	if err := n.assembleServing(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.register()
	return n, nil
}

func (n *Node) listen() error {
	const step = "listen"
	var err error
	if n.callersListener, err = net.Listen("tcp", n.settings.Listen.Callers); err != nil {
		return fault.At(fault.CodeInternal, step, n.settings.Listen.Callers, fault.NotDone, err)
	}
	if n.operatorsListener, err = net.Listen("tcp", n.settings.Listen.Operators); err != nil {
		return fault.At(fault.CodeInternal, step, n.settings.Listen.Operators, fault.NotDone, err)
	}
	if n.peersListener, err = net.Listen("tcp", n.settings.Listen.Peers); err != nil {
		return fault.At(fault.CodeInternal, step, n.settings.Listen.Peers, fault.NotDone, err)
	}
	if n.socket, err = net.ListenPacket("udp", n.peersListener.Addr().String()); err != nil {
		return fault.At(fault.CodeInternal, step, n.settings.Listen.Peers, fault.NotDone, err)
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range []net.Listener{n.callersListener, n.operatorsListener, n.peersListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if n.socket != nil {
		_ = n.socket.Close()
	}
}

func (n *Node) assembleControl() {
	s := n.settings
	self := wire.Member{
		Node: s.Node, Incarnation: rand.Text(), Address: n.advertised(),
		Zone: s.Zone, Region: s.Region, Started: time.Now().UnixNano(),
	}
	n.client = peer.NewClient(s.Node, n.localAddress(), n.traffic.Peers)
	n.peers = peer.NewServer(s.Node, n.traffic.Peers)
	n.decisions = decision.NewLog(s.Node, decisionsKept)
	n.catalog = catalog.New()
	n.platformMachines = machines.NewClient(s.Platform.Machines, n.localAddress(), n.traffic.Platform)
	n.machines = machines.NewList()
	store := table.NewClient(s.Platform.Table, n.localAddress(), n.traffic.Platform)
	n.committer = commit.New(store, n.catalog)
	reader := commit.NewReader(store)
	n.membership = membership.New(self, membership.Settings{
		ProbeInterval: s.Membership.ProbeInterval, ProbeTimeout: s.Membership.ProbeTimeout,
		SuspectFor: s.Membership.SuspectFor, Seeds: s.Seeds,
	}, n.socket, n.client, n.traffic.Peers, n.logger)
	n.spread = spread.New(n.catalog, reader, n.membership, n.client, s.Configuration.PollInterval, n.logger)
	n.membership.Exchange(&exchange{Spreader: n.spread, node: n})
	n.committing = committing.New(n.membership, n.client, n.committer, n.spread.Inject)
	zone, _ := time.LoadLocation(s.TimeZone)
	n.policies = policy.NewSet(n.catalog, s.Region, zone)
	n.keeper = sleep.NewKeeper(sleep.Settings{
		Fixed: s.Sleep.FixedKeepAlive, Exchange: s.Sleep.IdleSecondsPerColdSecond, TailPower: s.Sleep.TailPower,
		Limit: s.Sleep.Limit, StoreMiB: s.WeightStore.MiBPerSecond, DiskMiB: s.WeightStore.DiskMiBPerSecond,
	})
	n.claims = claims.New(claims.Dependencies{
		Catalog: n.catalog, Membership: n.membership, Client: n.client, Committer: n.committing,
		Reader: reader, Logger: n.logger, Shards: s.Claims.Shards,
	})
}

// advertised is the address at which other nodes reach this one.
func (n *Node) advertised() string {
	if n.settings.Listen.Advertise != "" {
		return n.settings.Listen.Advertise
	}
	return n.peersListener.Addr().String()
}

// localAddress is the IP address calls go out from, the one peers listen on.
func (n *Node) localAddress() net.IP {
	address, isTCP := n.peersListener.Addr().(*net.TCPAddr)
	if !isTCP || address.IP.IsUnspecified() {
		return nil
	}
	return address.IP
}

func (n *Node) assembleServing() error {
	s := n.settings
	writer := grants.NewWriter(n.committing, n.catalog, s.Node)
	n.permits = permits.NewService(s.Region, permits.Limits{
		LoadsPerSecond: s.WeightStore.LoadsPerSecond, Concurrency: s.WeightStore.Concurrency,
	}, n.membership, n.client)
	dialer := engine.NewDialer(n.localAddress(), n.traffic.Runners)
	n.coordinator = coordinator.New(coordinator.Dependencies{
		Membership: n.membership, Machines: n.machines, Catalog: n.catalog, Grants: writer, Policies: n.policies,
		Keeper: n.keeper, Client: n.client, Log: n.decisions, Logger: n.logger,
		StatusChanged: func(status wire.UnitStatus) { n.requests.Update(status) },
	})
	n.manager = runner.NewManager(runner.Settings{
		Poll: s.Runners.PollInterval,
	}, runner.Dependencies{
		Membership: n.membership, Machines: n.machines, Catalog: n.catalog,
		Controls: func(address string) engine.Control { return dialer.Engine(address) },
		Client:   n.client, Grants: writer, KeepAlive: n.keeper, Permits: n.permits, Log: n.decisions, Logger: n.logger,
		Reports: n.coordinator.Report, Idle: func(seconds float64) { n.metrics.AddIdle(seconds) },
		Newer: n.spread.Newer,
	})
	n.coordinator.SetOwners(n.manager)
	n.metrics = metrics.New(func() [api.ClassCount]int { return n.requests.QueueDepths() }, n.catalog.Revision, n.traffic)
	n.requests = request.NewService(request.Dependencies{
		Catalog: n.catalog, Demand: n.coordinator, Claims: n.claims, Freshness: n.spread,
		Dialer:   func(address string) engine.Inference { return dialer.Engine(address) },
		Observer: n.metrics, Log: n.decisions, Logger: n.logger, Node: s.Node, Region: s.Region, Address: n.membership.Self().Address,
		Context: context.Background(),
	})
	if s.Platform.Objects != "" {
		store := objects.NewClient(s.Platform.Objects, n.localAddress(), n.traffic.Platform)
		n.patterns = patterns.NewSaver(store, n.keeper, n.coordinator.Owned, s.Sleep.SaveEvery, n.logger)
	}
	var err error
	n.gateway, err = gateway.New(n.requests, n.catalog, s.Node, n.accept)
	n.operators = operator.New(&backend{node: n}, n.catalog, s.Node, n.metrics.Handler())
	return err
}

func (n *Node) register() {
	n.membership.Register(n.peers)
	n.spread.Register(n.peers)
	n.claims.Register(n.peers)
	n.committing.Register(n.peers)
	n.permits.Register(n.peers)
	n.manager.Register(n.peers)
	n.coordinator.Register(n.peers)
	peer.Handle(n.peers, coordinator.MethodStatus, func(_ context.Context, status wire.UnitStatus) (wire.Empty, error) {
		n.requests.Update(status)
		return wire.Empty{}, nil
	})
	peer.Handle(n.peers, methodExplain, func(_ context.Context, request wire.ExplainRequest) (wire.ExplainResponse, error) {
		return wire.ExplainResponse{Decisions: n.decisions.Find(request.Subject, request.Limit)}, nil
	})
	peer.Handle(n.peers, methodMachines, func(ctx context.Context, request wire.MachinesRequest) (wire.MachinesResponse, error) {
		changes, err := n.machines.ChangesSince(ctx, request.Since)
		return wire.MachinesResponse{Changes: changes}, err
	})
	markStale := func() {
		select {
		case n.stale <- struct{}{}:
		default:
		}
	}
	n.catalog.OnChange(markStale)
	n.membership.OnChange(markStale)
}

// Addresses are the addresses the node listens on.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// Addresses returns the addresses the node listens on.
func (n *Node) Addresses() Addresses {
	return Addresses{Callers: n.callersListener.Addr().String(), Operators: n.operatorsListener.Addr().String(), Peers: n.peersListener.Addr().String()}
}

// Run runs the node until ctx ends, then leaves the fleet without cutting off a
// request: it announces that it leaves, refuses new requests after a grace time,
// and stops once those it holds have ended and its claims were handed over.
func (n *Node) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	n.serve()
	go n.membership.Run(running)
	go n.refreshMachines(running)
	go n.refreshDerived(running)
	if err := n.spread.Start(ctx); err != nil {
		n.closeServers()
		return err
	}
	managerDone := make(chan struct{})
	managerContext, stopManager := context.WithCancel(running)
	defer stopManager()
	n.refresh()
	go n.spread.Run(running)
	go n.committing.Run(running)
	go n.claims.Run(running)
	go n.coordinator.Run(running)
	if n.patterns != nil {
		go n.patterns.Run(running)
	}
	go func() {
		defer close(managerDone)
		n.manager.Run(managerContext)
	}()
	n.ready.Store(true)
	addresses := n.Addresses()
	n.logger.Info("node is ready", "step", "start", "callers", addresses.Callers, "operators", addresses.Operators, "peers", addresses.Peers, "revision", n.catalog.Revision())
	<-ctx.Done()
	n.leave()
	stopManager()
	<-managerDone
	n.closeServers()
	n.logger.Info("node stopped", "step", "stop")
	return nil
}

func (n *Node) serve() {
	go func() { _ = n.peers.Serve(n.peersListener) }()
	go func() { _ = n.operators.Serve(n.operatorsListener) }()
	go func() { _ = n.gateway.Serve(n.callersListener) }()
}

func (n *Node) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = n.gateway.Shutdown(ctx)
	_ = n.gateway.Close()
	_ = n.operators.Close()
	_ = n.peers.Close()
	_ = n.socket.Close()
}

// accept returns an error while the node takes no new requests.
func (n *Node) accept() error {
	if !n.ready.Load() {
		return fault.New(fault.CodeNotReady, "accept", "the node has not caught up with the configuration").WithRetryAfter(notReadyRetry)
	}
	since := n.leaving.Load()
	if since != 0 && time.Since(time.Unix(0, since)) > leaveGrace {
		return fault.New(fault.CodeDraining, "accept", "the node is leaving; ask another one").WithRetryAfter(drainingRetry)
	}
	return nil
}

// startLeaving announces the stop. It is called any number of times.
func (n *Node) startLeaving() {
	if n.leaving.CompareAndSwap(0, time.Now().UnixNano()) {
		n.logger.Info("node is leaving", "step", "leave", "running", n.requests.Running())
		n.membership.Leave()
	}
}

// leave waits until the node may stop.
func (n *Node) leave() {
	if n.patterns != nil {
		saveContext, cancel := context.WithTimeout(context.Background(), leaveGrace)
		defer cancel()
		go n.patterns.SaveAll(saveContext)
	}
	n.startLeaving()
	began := time.Unix(0, n.leaving.Load())
	for {
		graceOver := time.Since(began) > leaveGrace
		handedOver := !n.claims.Holds() || time.Since(began) > claimsHandover
		if graceOver && handedOver && n.requests.Running() == 0 {
			return
		}
		time.Sleep(leavePoll)
	}
}

func (n *Node) refreshMachines(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Runners.MachineInterval)
	defer ticker.Stop()
	for {
		// Peers show a newer list by their probes; only feeders, and nodes that
		// have none yet, read the platform's.
		if n.machines.Version() == 0 || n.spread.IsFeeder() {
			n.readMachines(ctx, n.platformMachines)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) readMachines(ctx context.Context, source machines.Source) {
	before := n.machines.Version()
	defer func() {
		if n.machines.Version() != before {
			n.manager.Look()
		}
	}()
	if err := n.machines.Refresh(ctx, source); err != nil {
		n.logger.V(1).Info("machine list does not answer", "step", "read machine list", "error", err.Error())
	}
}

// refreshDerived brings what is derived from the catalog and the member list up
// to date after either changed, at most once every refreshAtMost.
func (n *Node) refreshDerived(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.stale:
		}
		n.refresh()
		time.Sleep(refreshAtMost)
	}
}

func (n *Node) refresh() {
	n.policies.Refresh()
	n.claims.Refresh()
	n.coordinator.Refresh()
	n.requests.Refresh()
	n.followDrain()
	n.lookIfConcerned()
}

// lookIfConcerned makes the owners of runners look at once when a grant, a
// Drain or a version may have changed.
func (n *Node) lookIfConcerned() {
	newest := n.catalog.Newest(api.KindGrant, api.KindDrain, api.KindModel, api.KindVersion, api.KindAdapter)
	if n.looked.Swap(newest) != newest {
		n.manager.Look()
	}
}

// followDrain leaves when a Drain names this node. A node that has begun to leave
// does not come back; it is restarted instead.
func (n *Node) followDrain() {
	drained := n.catalog.Drains(api.DrainNode, n.settings.Node)
	if drained && n.leaving.Load() == 0 {
		n.startLeaving()
	}
}
