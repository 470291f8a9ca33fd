// Package node assembles the components of a node. A node serves requests, follows the platform's
// tables, and takes part in the control of each service.
package node

import (
	"context"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/catalog"
	"lilacvane/internal/claim"
	"lilacvane/internal/clock"
	"lilacvane/internal/commit"
	"lilacvane/internal/config"
	"lilacvane/internal/crash"
	"lilacvane/internal/decision"
	"lilacvane/internal/demand"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/fleet"
	"lilacvane/internal/gateway"
	"lilacvane/internal/inbound"
	"lilacvane/internal/ingress"
	"lilacvane/internal/link"
	"lilacvane/internal/logging"
	"lilacvane/internal/metrics"
	"lilacvane/internal/operator"
	"lilacvane/internal/origin"
	"lilacvane/internal/overload"
	"lilacvane/internal/peer"
	"lilacvane/internal/place"
	"lilacvane/internal/policy"
	"lilacvane/internal/quarantine"
	"lilacvane/internal/reach"
	"lilacvane/internal/relay"
	"lilacvane/internal/retry"
	"lilacvane/internal/settings"
	"lilacvane/internal/statement"
	"lilacvane/internal/table"
	"lilacvane/internal/traffic"
	"lilacvane/internal/tunnel"
	"lilacvane/internal/upstream"
	"lilacvane/internal/wire"
)

// Table is a platform table that supports transactions and can be watched for changes.
type Table interface {
	table.Table
	feed.Source
}

// Platform is what a platform adapter provides.
type Platform struct {
	Headers upstream.HeaderNames
	// Configuration is the table whose row ConfigurationKey holds the platform's part of the
	// configuration. DecodeConfiguration also returns the name of an unknown field.
	Configuration       feed.Source
	ConfigurationKey    string
	DecodeConfiguration func(content []byte) (decoded *config.Configuration, unknown string, err error)
	// EvacuatedZone returns the zone that a row of Configuration with this key evacuates, or an
	// empty zone if the row names none. It returns false for any other row.
	EvacuatedZone func(key string) (place.Zone, bool)
	// Runners is the table of runners by identifier.
	Runners      feed.Source
	DecodeRunner func(id string, content []byte) (backend.Runner, error)
	// Objects, Leases, Claims, Limits, Poison, Builds and Streams are lilacvane's own tables.
	Objects Table
	Leases  table.Table
	Claims  table.Table
	Limits  table.Table
	// Poison is the table of quarantined requests, which are not run because they crash runners.
	Poison Table
	// Builds is the table of the builds of runners that serve or served lately.
	Builds Table
	// Streams is the table of streams under way and the builds that began them.
	Streams table.Table
	// Epochs tracks the epoch of the store behind these tables.
	Epochs *table.Epochs
	// Unreadable reports the rows of these tables that cannot be read.
	Unreadable *table.Unreadable
	// Control sends orders to runners.
	Control backend.Control
	// Alive asks for a runner's health at a path; nil where runners have no health checks.
	Alive func(ctx context.Context, runner backend.Runner, path string) error
	// Pool holds the connections to runners, including those of Control.
	Pool *upstream.Pool
	// Links counts the connections of the fields above and the node's own. It may be nil.
	Links *link.Record
}

// maxDecisions is how many decisions a node keeps for operators' queries.
const maxDecisions = 2000

// Node is one process of the serving system.
type Node struct {
	settings atomic.Pointer[settings.Settings]
	platform Platform
	log      *logging.Bounded
	// process identifies this process: its ID and start time, as process IDs are reused.
	process string

	configuration atomic.Pointer[config.Configuration]
	followers     *followers
	zones         *zones
	relay         *relay.Relay
	// leases is the table of leases.
	leases       *table.Fenced
	fleet        *fleet.Fleet
	pool         *upstream.Pool
	statements   *statement.Registry
	reach        *reach.Tracker
	tunnels      *tunnel.Server
	tunnelDialer *tunnel.Dialer
	demand       *demand.Tracker
	dispatcher   *dispatch.Dispatcher
	crashes      *crash.Detector
	quarantine   *quarantine.Quarantine
	denials      denials
	origins      *origin.Registry
	catalog      *catalog.Catalog
	committer    *commit.Committer
	claims       *claim.Claims
	policies     *policy.Set
	decisions    *decision.Log
	ingress      *ingress.Server
	gateway      *gateway.Server
	operator     *operator.Server
	peers        *peer.Server
	client       *peer.Client
	metrics      *metrics.Metrics
	controls     *controls
	limits       *limits
	cold         *coldMonitor
	pauses       *pauseDetector
	load         *overload.Monitor
	// guard bounds the memory of clients, callers and operators, peerGuard that of other nodes.
	guard, peerGuard *inbound.Guard
	closing          context.Context
	close            context.CancelFunc
	// bestSpare holds the float64 bits of the largest spare capacity of any node but the lease
	// holder that reported it, or zero if unknown.
	bestSpare atomic.Uint64
	// nodes is the number of nodes as reported by a lease holder, or zero before the first report.
	nodes atomic.Int64
	// runnersListed is set once the list of runners was read.
	runnersListed atomic.Bool
	// cut counts the answers that the stop cut off.
	cut atomic.Int64
}

// New returns a node that is not running yet.
func New(s settings.Settings, platform Platform, log *logging.Bounded) (*Node, error) {
	timeZone, err := time.LoadLocation(s.TimeZone)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "start node", "time zone: %v", err)
	}
	n := &Node{
		platform: platform, log: log, process: strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		pool: platform.Pool, demand: demand.NewTracker(), catalog: catalog.New(),
		decisions: decision.NewLog(s.Node, maxDecisions), pauses: newPauseDetector(), load: overload.NewMonitor(log.Logger),
	}
	n.pool.ObserveConnect = func(runner string, took time.Duration, timedOut bool) {
		n.load.ObserveConnect(n.fleet.RegionOf(runner), took, timedOut)
	}
	n.leases = table.NewFenced(platform.Leases, platform.Epochs)
	n.settings.Store(&s)
	platform.Epochs.OnChange(n.logEpoch)
	platform.Unreadable.OnReport(n.reportUnreadable)
	n.initStatements()
	n.reach = reach.New(time.Now, log.Logger)
	n.pool.Reach = n.reach
	n.zones = newZones(n)
	n.initLinks()
	n.fleet = fleet.New(s.Zone, time.Now, (*operatorRules)(n))
	n.fleet.SetBound(s.Node, fleet.DefaultBound)
	n.fleet.SetZones(n.zones)
	n.fleet.SetStatements(n.statements)
	n.cold = newColdMonitor(n)
	n.fleet.SetColdStarts(fleet.ColdStarts{Terms: n.coldTerms, Limit: n.limitTerms, Returned: n.zones.returnedAt})
	n.fleet.SetRegion(place.Region(s.Region))
	n.committer = commit.New(table.NewFenced(platform.Objects, platform.Epochs), n.catalog, platform.Epochs, log.Logger)
	n.policies = policy.NewSet(n.catalog, s.Region, timeZone)
	n.closing, n.close = context.WithCancel(context.Background())
	n.metrics = newMetrics(n)
	meter := traffic.NewMeter(place.Region(s.Region), n.metrics.CountRegion)
	n.pool.Wrap = func(runner string, conn net.Conn) net.Conn { return meter.Connection(conn, n.fleet.RegionOf(runner)) }
	n.dispatcher = &dispatch.Dispatcher{
		Node: s.Node, Fleet: n.fleet, Pool: n.pool, Demand: n.demand, Headers: platform.Headers,
		Configuration: n.activeConfiguration, ConfigurationOrigin: n.configurationOrigin, AwaitFresh: n.awaitFresh, AwaitPendingReads: n.pauses.awaitPendingReads, PausedSince: n.pauses.pausedSince, Retries: retryLimits(s.Retries), Report: platform.Control.Report, Alive: platform.Alive, MaxPropagationDelay: s.Configuration.Within, Log: log.Logger, Observe: n.observe, Closing: n.closing,
	}
	n.denials.log = log.Logger
	n.crashes = crash.NewDetector(crash.Prober{Report: platform.Control.Report, Connect: n.pool.Connect, Leaves: n.isLeaving}, n.recordCrash, log.Logger)
	n.dispatcher.Crashes = n.crashes
	n.dispatcher.Allowance, n.pool.Allowance = n.load.Allowance, n.load.Allowance
	n.initMemory(s.Capacity)
	n.peers = peer.NewServer(s.Node, n.peerGuard)
	n.peers.SetRegion(place.Region(s.Region))
	n.quarantine = newQuarantine(n)
	n.dispatcher.Quarantine = n.quarantine
	n.claims = newClaims(n)
	n.origins = newOrigins(n)
	n.dispatcher.Origins = n.origins
	n.limits = newLimits(n, s.Limits)
	n.dispatcher.Limits = n.limits
	n.ingress = ingress.New(platform.Headers, n.dispatcher, n.load, n.guard, log.Logger)
	n.gateway = gateway.New(gateway.Options{
		Node: s.Node, Headers: platform.Headers, Dispatcher: n.dispatcher, Configuration: n.activeConfiguration, Claims: n.claims, Guard: n.guard, Load: n.load, Accept: n.accept,
	})
	n.operator = operator.New(n, n.catalog, s.Node, n.guard, n.metrics.Handler())
	n.client = peer.NewClient(s.Node, n.platform.Links)
	n.client.SetMeter(meter)
	n.controls = newControls(n)
	n.relay = relay.New(relay.Options{
		Group: relayGroup(s), Node: s.Node, Leases: n.leases, Address: s.Listen.PeerAddress(), Process: n.process,
		Client: n.client, Epochs: platform.Epochs, TakeoverDelay: n.takeoverDelay, FirstStart: s.Relay.FirstStart, Log: log.Logger,
	})
	n.initPaths()
	peer.Handle(n.peers, wire.MethodFollow, n.relay.Follow)
	peer.Handle(n.peers, wire.MethodRelay, n.relay.ReportUpstream)
	n.followers = newFollowers(n)
	n.registerHandlers()
	return n, nil
}

const (
	// initialTakeoverDelay is how much later than others a node without spare capacity takes a
	// lease while the capacity of other nodes is unknown.
	initialTakeoverDelay = 400 * time.Millisecond
	// maxTakeoverDelay is the delay of a node that has none of the spare capacity of the best one.
	// It lets the best nodes read the lease twice, and lose one answer of the store, before this
	// node takes it.
	maxTakeoverDelay = 2 * time.Second
)

// takeoverDelay lets nodes with more spare capacity take leases first, because lease holders work
// for other nodes: a holder for hundreds of nodes saturates a small machine's link.
func (n *Node) takeoverDelay() time.Duration {
	spare := n.settings.Load().Capacity.Spare()
	best := math.Float64frombits(n.bestSpare.Load())
	if best == 0 {
		return time.Duration((1 - spare) * float64(initialTakeoverDelay))
	}
	return time.Duration(max(1-spare/best, 0) * float64(maxTakeoverDelay))
}

// relayGroup returns the group of nodes that read the store through one of them.
func relayGroup(s settings.Settings) relay.Group {
	if s.Relay.Scope == settings.ScopeZone {
		return relay.Group(s.Zone)
	}
	return relay.Group(s.Region)
}

func retryLimits(s settings.Retries) retry.Limits {
	return retry.Limits{Ratio: s.Ratio, Slack: s.Slack, Window: s.Window}
}

// Run runs the node until ctx ends, then stops it without aborting requests. reload is signaled
// when the settings file may have changed.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal, settingsPath string) error {
	s := n.settings.Load()
	open, err := listen(ctx, s.Listen)
	if err != nil {
		return err
	}
	n.log.Info("node started", "node", s.Node, "zone", s.Zone, "process", n.process, "clients", s.Listen.Clients,
		"peers", s.Listen.Peers, "store", s.Store.Address)
	if !s.Capacity.Fits() {
		n.log.Info("machine has less memory than a node requires", "step", "start node", "memoryMB", s.Capacity.MemoryMB, "neededMB", settings.MinMemoryMB)
	}
	if !clock.CountsSuspensions() {
		n.log.Info("clock cannot detect machine suspension", "step", "read clock")
	}
	background, end := context.WithCancel(context.Background())
	defer end()
	var work sync.WaitGroup
	n.followers.run(background, &work)
	work.Go(func() { n.learnEpoch(background) })
	work.Go(func() { n.relay.Run(background) })
	work.Go(func() { n.pauses.run(background) })
	work.Go(func() { n.load.Run(background) })
	work.Go(func() { n.zones.run(background) })
	work.Go(func() { n.watchSettings(background, reload, settingsPath) })
	work.Go(func() { n.sweepClaims(background) })
	work.Go(func() { n.claims.Run(background) })
	work.Go(func() { n.followers.objectLog.Run(background) })
	work.Go(func() { n.limits.run(background) })
	work.Go(func() { n.cold.run(background) })
	work.Go(func() { n.quarantine.Run(background) })
	work.Go(func() { n.origins.Run(background) })
	work.Go(func() { n.origins.Record(background) })
	work.Go(func() { n.origins.Save(background) })
	work.Go(func() { n.pool.RetryBrokenPaths(background) })
	n.serve(open)
	<-ctx.Done()
	schedule := n.stop()
	end()
	work.Go(n.controls.stop)
	work.Go(n.crashes.Close)
	if !waitUntil(&work, schedule.BackgroundEnd) {
		n.log.Info("background work aborted at end of shutdown", "step", "stop node")
	}
	n.log.Info("node stopped", "node", s.Node, "cut", n.cut.Load())
	n.log.Close(time.Until(schedule.LogEnd))
	return nil
}

// waitUntil waits for work, but no longer than to the end. It returns whether the work is done.
func waitUntil(work *sync.WaitGroup, end time.Time) bool {
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

// listeners holds the open listening sockets. A socket without an address is nil.
type listeners struct {
	clients   net.Listener
	callers   net.Listener
	operators net.Listener
	ready     net.Listener
	peers     net.Listener
	metrics   net.Listener
	profiles  net.Listener
}

func listen(ctx context.Context, addresses settings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, socket := range []struct {
		target  *net.Listener
		address string
		kind    link.Kind
	}{
		{&l.clients, addresses.Clients, link.Client}, {&l.callers, addresses.Callers, link.Client},
		{&l.operators, addresses.Operators, link.Client}, {&l.ready, addresses.Ready, link.Client},
		{&l.peers, addresses.Peers, link.Peer}, {&l.metrics, addresses.Metrics, link.Client}, {&l.profiles, addresses.Profiles, link.Client},
	} {
		if socket.address == "" {
			continue
		}
		listener, err := socket.kind.Listen(ctx, socket.address)
		if err != nil {
			return nil, fault.At(fault.CodeInternal, "listen", socket.address, fault.NotDone, err)
		}
		*socket.target = listener
	}
	return l, nil
}
