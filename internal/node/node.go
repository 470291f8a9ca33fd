// Package node puts the parts of a node together: it takes requests, follows the
// platform's tables, and takes part in the control of each service.
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
	"lilacvane/internal/figures"
	"lilacvane/internal/fleet"
	"lilacvane/internal/gateway"
	"lilacvane/internal/ingress"
	"lilacvane/internal/link"
	"lilacvane/internal/logging"
	"lilacvane/internal/operator"
	"lilacvane/internal/peer"
	"lilacvane/internal/place"
	"lilacvane/internal/policy"
	"lilacvane/internal/quarantine"
	"lilacvane/internal/relay"
	"lilacvane/internal/retry"
	"lilacvane/internal/settings"
	"lilacvane/internal/statement"
	"lilacvane/internal/table"
	"lilacvane/internal/traffic"
	"lilacvane/internal/upstream"
	"lilacvane/internal/wire"
)

// Table is a table of the platform, for transactions and as a source of changes.
type Table interface {
	table.Table
	feed.Source
}

// Platform is what a platform's adapter provides.
type Platform struct {
	Headers upstream.Names
	// Configuration is the table whose row ConfigurationKey is the platform's
	// part of the configuration. DecodeConfiguration names a field it does not
	// know.
	Configuration       feed.Source
	ConfigurationKey    string
	DecodeConfiguration func(content []byte) (decoded *config.Configuration, unknown string, err error)
	// EvacuatedZone returns the zone that a row of Configuration with this key takes out,
	// which is empty when it names none; false for any other row.
	EvacuatedZone func(key string) (place.Zone, bool)
	// Runners is the table of runners by identifier.
	Runners      feed.Source
	DecodeRunner func(id string, content []byte) (backend.Runner, error)
	// Objects, Leases, Claims, Limits and Poison are lilacvane's own tables.
	Objects Table
	Leases  table.Table
	Claims  table.Table
	Limits  table.Table
	// Poison is the table of requests that are not run as runners end under them.
	Poison Table
	// Control orders runners.
	Control backend.Control
	// Pool holds the connections to runners, Control's too.
	Pool *upstream.Pool
	// Links counts the connections of the above, and the node's own; not set where
	// nobody counts.
	Links *link.Record
}

const (
	// decisionsKept is how many decisions a node remembers for operators.
	decisionsKept = 2000
	logCloseLimit = 50 * time.Millisecond
	// endLimit bounds the wait for background work after a stop.
	endLimit = 100 * time.Millisecond
)

// Node is one process.
type Node struct {
	settings atomic.Pointer[settings.Settings]
	platform Platform
	log      *logging.Bounded
	process  string

	configuration atomic.Pointer[config.Configuration]
	knowledge     *knowledge
	zones         *zones
	relay         *relay.Relay
	fleet         *fleet.Fleet
	pool          *upstream.Pool
	statements    *statement.Book
	demand        *demand.Book
	dispatcher    *dispatch.Dispatcher
	crashes       *crash.Detector
	quarantine    *quarantine.Quarantine
	catalog       *catalog.Catalog
	committer     *commit.Committer
	claims        *claim.Claims
	policies      *policy.Set
	decisions     *decision.Log
	ingress       *ingress.Server
	gateway       *gateway.Server
	operator      *operator.Server
	peers         *peer.Server
	client        *peer.Client
	figures       *figures.Figures
	controls      *controls
	limits        *limits
	cold          *coldWatch
	pauses        *pauseWatch
	closing       context.Context
	close         context.CancelFunc
	// bestSpare holds the bits of the largest spare part that another node has; zero
	// before it is known.
	bestSpare atomic.Uint64
	// nodes is how many nodes a holder knows; zero before one told.
	nodes    atomic.Int64
	listed   atomic.Bool
	stopping atomic.Bool
	refusing atomic.Bool
}

// New returns a node that is not running yet.
func New(s settings.Settings, platform Platform, log *logging.Bounded) (*Node, error) {
	zone, err := time.LoadLocation(s.TimeZone)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "start node", "time zone: %v", err)
	}
	n := &Node{
		platform: platform, log: log, process: strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		pool: platform.Pool, demand: demand.NewBook(), catalog: catalog.New(),
		decisions: decision.NewLog(s.Node, decisionsKept), claims: claim.New(platform.Claims), pauses: newPauseWatch(),
	}
	n.settings.Store(&s)
	n.hearStatements()
	n.zones = newZones(n)
	n.countLinks()
	n.fleet = fleet.New(s.Zone, time.Now, (*operatorRules)(n))
	n.fleet.SetBound(s.Node, fleet.DefaultBound)
	n.fleet.SetZones(n.zones)
	n.fleet.SetStatements(n.statements)
	n.cold = newColdWatch(n)
	n.fleet.SetColdStarts(fleet.ColdStarts{Terms: n.coldTerms, Limit: n.limitTerms, Returned: n.zones.returned})
	n.fleet.SetRegion(place.Region(s.Region))
	n.committer = commit.New(platform.Objects, n.catalog)
	n.policies = policy.NewSet(n.catalog, s.Region, zone)
	n.closing, n.close = context.WithCancel(context.Background())
	n.figures = newFigures(n)
	meter := traffic.NewMeter(place.Region(s.Region), n.figures.CountRegion)
	n.pool.Wrap = func(runner string, conn net.Conn) net.Conn { return meter.Connection(conn, n.fleet.RegionOf(runner)) }
	n.dispatcher = &dispatch.Dispatcher{
		Node: s.Node, Fleet: n.fleet, Pool: n.pool, Demand: n.demand, Names: platform.Headers,
		Configuration: n.inForce, Knowledge: n.knowledgeOfConfiguration, Fresh: n.fresh, AwaitReading: n.pauses.awaitReading, Retries: retryLimits(s.Retries), Report: platform.Control.Report, NewsWithin: s.Configuration.Within, Log: log.Logger, Observe: n.observe, Closing: n.closing,
	}
	n.crashes = crash.NewDetector(crash.Ask{Report: platform.Control.Report, Connect: n.pool.Connect, Leaves: n.leaves}, n.crashed, log.Logger)
	n.dispatcher.Crashes = n.crashes
	n.peers = peer.NewServer(s.Node)
	n.peers.SetRegion(place.Region(s.Region))
	n.quarantine = newQuarantine(n)
	n.dispatcher.Quarantine = n.quarantine
	n.limits = newLimits(n, s.Limits)
	n.dispatcher.Limits = n.limits
	n.ingress = ingress.New(platform.Headers, n.dispatcher, log.Logger)
	n.gateway = gateway.New(gateway.Options{
		Node: s.Node, Names: platform.Headers, Dispatcher: n.dispatcher, Configuration: n.inForce, Claims: n.claims, Accept: n.accept,
	})
	n.operator = operator.New(n, n.catalog, s.Node, n.figures.Handler())
	n.client = peer.NewClient(s.Node, n.platform.Links)
	n.client.SetMeter(meter)
	n.controls = newControls(n)
	n.relay = relay.New(relay.Options{
		Group: relayGroup(s), Node: s.Node, Leases: platform.Leases, Address: s.Listen.PeerAddress(), Process: n.process,
		Client: n.client, Reluctance: n.reluctance, FirstStart: s.Relay.FirstStart, Log: log.Logger,
	})
	peer.Handle(n.peers, wire.MethodFollow, n.relay.Follow)
	peer.Handle(n.peers, wire.MethodRelay, n.relay.Which)
	n.knowledge = newKnowledge(n)
	n.registerQuestions()
	return n, nil
}

const (
	// firstReluctance is how much later than others a node with nothing to spare
	// takes a lease before it knows what others have.
	firstReluctance = 400 * time.Millisecond
	// longestReluctance is the same of a node that has nothing of what the best one
	// has: the best ones have two looks at a lease, and one lost answer of the store,
	// before it.
	longestReluctance = 2 * time.Second
)

// reluctance lets nodes with more to spare take leases first, as their holders
// work for others: a holder of hundreds of nodes fills a small machine's link.
func (n *Node) reluctance() time.Duration {
	spare := n.settings.Load().Capacity.Spare()
	best := math.Float64frombits(n.bestSpare.Load())
	if best == 0 {
		return time.Duration((1 - spare) * float64(firstReluctance))
	}
	return time.Duration(max(1-spare/best, 0) * float64(longestReluctance))
}

// relayGroup is the group of nodes that read the store through one of them.
func relayGroup(s settings.Settings) relay.Group {
	if s.Relay.Scope == settings.ScopeZone {
		return relay.Group(s.Zone)
	}
	return relay.Group(s.Region)
}

func retryLimits(s settings.Retries) retry.Limits {
	return retry.Limits{Ratio: s.Ratio, Slack: s.Slack, Window: s.Window}
}

// Run runs the node until ctx ends, then stops it without cutting off requests.
// reload is signalled when the settings file may have changed.
func (n *Node) Run(ctx context.Context, reload <-chan os.Signal, settingsPath string) error {
	s := n.settings.Load()
	open, err := listen(ctx, s.Listen)
	if err != nil {
		return err
	}
	n.log.Info("node started", "node", s.Node, "zone", s.Zone, "process", n.process, "clients", s.Listen.Clients,
		"peers", s.Listen.Peers, "store", s.Store.Address)
	if !s.Capacity.Fits() {
		n.log.Info("machine has too little memory for a node", "step", "start node", "memoryMB", s.Capacity.MemoryMB, "neededMB", settings.LeastMemoryMB)
	}
	if !clock.CountsSuspensions() {
		n.log.Info("suspensions of the machine are not seen", "step", "read clock")
	}
	background, end := context.WithCancel(context.Background())
	defer end()
	var work sync.WaitGroup
	n.knowledge.run(background, &work)
	work.Go(func() { n.relay.Run(background) })
	work.Go(func() { n.pauses.run(background) })
	work.Go(func() { n.zones.run(background) })
	work.Go(func() { n.watchSettings(background, reload, settingsPath) })
	work.Go(func() { n.sweepClaims(background) })
	work.Go(func() { n.limits.run(background) })
	work.Go(func() { n.cold.run(background) })
	work.Go(func() { n.quarantine.Run(background) })
	n.serve(open)
	<-ctx.Done()
	n.stop(s.Stop)
	end()
	work.Go(n.controls.wait)
	work.Go(n.crashes.Close)
	waitAtMost(&work, endLimit)
	n.log.Info("node stopped", "node", s.Node)
	n.log.Close(logCloseLimit)
	return nil
}

// waitAtMost waits for work, but not longer than a stop allows.
func waitAtMost(work *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// listeners are the open listening sockets; nil for what is not served.
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
