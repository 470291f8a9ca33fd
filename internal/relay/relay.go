// Package relay lets the nodes of a group read the tables of the store through one of
// them, so that one node per group calls the store instead of all. The node that holds
// the lease of the group reads the store and keeps a mirror of each table; the others
// follow its mirrors. A node falls back to the store as soon as the relay does not answer
// in time or has not reached the store for too long.
//
// Data that comes through a relay is at most as old as the response says, and the
// revision of a reader never decreases: revisions are assigned by the store, whichever
// node sends them.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/lease"
	"lilacvane/internal/table"
)

// Table is the name of a relayed table. All nodes of a group use the same names.
type Table string

// Group is the name of the set of nodes that share a relay.
type Group string

// LeaseKey returns the key of the lease of the group.
func (g Group) LeaseKey() string { return "relay." + string(g) }

const (
	leaseInterval = 500 * time.Millisecond
	leaseValidity = time.Second
	leaseTimeout  = 800 * time.Millisecond
	// callMargin is how much longer than its hold time the response of a relay may take.
	callMargin = 350 * time.Millisecond
	// wholeMargin is the margin for a page of a whole table, which hundreds of readers may request at
	// once. Other calls detect the loss of a relay sooner.
	wholeMargin = 2 * time.Second
	// maxAge is the maximum time since a relay last got an answer from the store.
	maxAge = 900 * time.Millisecond
	// relayAnswerValidity is how long an answer of the relay counts as proof that it is up.
	relayAnswerValidity = 1200 * time.Millisecond
	// pacePerNode is the minimum time between two responses of a relay without urgent changes, so
	// that its load stays bounded however many readers it has.
	pacePerNode = time.Millisecond
	// maxPace bounds the delay of changes.
	maxPace = 2 * time.Second
	// minSuspension is the minimum time for which a failed relay is avoided. Up to half as much is
	// added at random.
	minSuspension = 1500 * time.Millisecond
	// awaitStoreHold is the minimum hold time of a request to a relay that is known to have not heard of
	// the store, so that there is nearly always a request to answer when it does.
	awaitStoreHold = 800 * time.Millisecond
	// storeProbers is how many nodes call the store themselves when the relay has not reached it
	// for long.
	storeProbers = 8
	// reprobeInterval is the time after which every node may call the store itself again.
	reprobeInterval = 2 * time.Second
	// sharedFailurePeriod is how long the failure of the store for one table counts for the other
	// tables of the node.
	sharedFailurePeriod = 400 * time.Millisecond
	// probeTimeout bounds a call that checks whether the store answers again. It equals the time
	// that a call may take beyond its wait, so that a slow store is not considered unavailable.
	probeTimeout = 900 * time.Millisecond
	// maxHoldMs is the maximum time, in milliseconds, for which a reader may have its request held.
	maxHoldMs = 15_000
)

// Upstream is what a node reads the tables from: Store or Peer.
type Upstream interface {
	upstream()
	// String returns "store" or the address of the relay.
	String() string
}

// Store is the upstream of a node that reads the store itself.
type Store struct{}

// Peer is the upstream of a node that follows the group's relay.
type Peer struct {
	// Address is the relay's ip:port for peers.
	Address string
	// Token distinguishes successive holders of the lease of the group.
	Token uint64
}

func (Store) upstream() {}
func (Peer) upstream()  {}

// String returns "store".
func (Store) String() string { return "store" }

// String returns the address of the relay.
func (p Peer) String() string { return p.Address }

// Caller calls other nodes; *peer.Client implements it.
type Caller interface {
	// Call sends a message and decodes the answer into response, a pointer. Its error is a
	// *fault.Error. ctx bounds the call.
	Call(ctx context.Context, address, method string, request, response any) error
}

// Options configures a Relay.
type Options struct {
	Group  Group
	Node   string
	Leases table.Table
	// Address is the ip:port at which other nodes reach this one. Process distinguishes this
	// process from earlier ones of the node.
	Address string
	Process string
	Client  Caller
	// Epochs tracks the epoch of the store. Nil means that only this Relay does.
	Epochs *table.Epochs
	// TakeoverDelay returns how much later than others this node becomes the relay.
	TakeoverDelay func() time.Duration
	// FirstStart is set when the whole system starts for the first time, so that no requests wait
	// for this node yet.
	FirstStart bool
	// Now is the clock of the group lease; see lease.Options.
	Now func() time.Time
	Log logr.Logger
}

// Relay is the member of a group that runs on one node, as a reader or as the relay. It is safe for
// concurrent use.
type Relay struct {
	elector *lease.Elector
	client  Caller
	epochs  *table.Epochs
	address string
	log     logr.Logger

	mu      sync.Mutex
	mirrors map[Table]*mirror
	// storeAnswered is when the store last answered this node, relayAnswered when its relay did.
	storeAnswered time.Time
	relayAnswered time.Time
	// storeHeard is closed when the store answers this node after it had not for maxAge.
	storeHeard chan struct{}
	// failed is the relay that is avoided until suspendedUntil. upstreamLost is closed when the
	// current upstream fails.
	failed         Peer
	suspendedUntil time.Time
	upstreamLost   chan struct{}
	// found is closed when this node has found an upstream again.
	found        chan struct{}
	lastUpstream Upstream
	stopped      bool
	// nodes is the number of nodes as far as known. storeFailedAt is when the store last failed a
	// call of this node, and storeFailedTable the table of that call.
	nodes            int
	storeFailedAt    time.Time
	storeFailedTable Table
	// staleRelay is the relay whose data was too old when this node last called it.
	staleRelay Peer
	// peers are addresses of other readers, used when the store is lost. namedRelay is the relay
	// that they named, lastReplacementSearch when they were last queried for a replacement.
	peers                 addressSet
	namedRelay            Peer
	lastReplacementSearch time.Time
	// firstStart and standbys decide whether this node reads the store on its own; see
	// FallsBackToStore.
	firstStart bool
	standbys   []string
	// processStarted is when this process started. leaseRowRead is set once it has read the lease
	// row, tableReceived once it has received data of a table.
	processStarted time.Time
	leaseRowRead   bool
	tableReceived  bool
	// reader is a node that reads the store without holding the lease, from which this node reads
	// while there is no relay. searchStarted is when the search for one began (zero: none),
	// lastSearch when other nodes were last queried, and failedSearches how many searches failed
	// before this one.
	reader         Peer
	searchStarted  time.Time
	lastSearch     time.Time
	failedSearches int
}

// New returns the member of a group for one node. Run starts it.
func New(o Options) *Relay {
	if o.Epochs == nil {
		o.Epochs = &table.Epochs{}
	}
	r := &Relay{
		client: o.Client, epochs: o.Epochs, address: o.Address, log: o.Log.WithValues("group", o.Group), mirrors: make(map[Table]*mirror), upstreamLost: make(chan struct{}), found: make(chan struct{}), storeHeard: make(chan struct{}),
		firstStart: o.FirstStart, processStarted: time.Now(),
	}
	r.elector = lease.New(o.Leases, o.Group.LeaseKey(), o.Node, o.Address, o.Process, lease.Options{
		Validity: leaseValidity, Interval: leaseInterval, CallTimeout: leaseTimeout, TakeoverDelay: o.TakeoverDelay, HolderAnswered: r.skipLeaseCheck,
		Nodes: r.Nodes, ReadStoreOnce: true, ReadAtStart: !o.FirstStart, Regained: r.storeRecovered, Now: o.Now,
	}, o.Log)
	r.epochs.OnChange(r.epochChanged)
	return r
}

// Run takes part in the group until ctx ends.
func (r *Relay) Run(ctx context.Context) { r.elector.Run(ctx) }

// Term returns this process's tenure of the group lease.
func (r *Relay) Term() lease.Term { return r.elector.Term() }

// Release gives up the group lease and rejects readers from then on, so that another node takes
// over. This node then reads from that node or from another reader.
func (r *Relay) Release(ctx context.Context) {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.elector.Release(ctx)
}

// Upstream returns what this node currently reads the tables from.
func (r *Relay) Upstream() Upstream {
	record, known := r.elector.Holder()
	holds, rowKnown := r.elector.Holds(), r.elector.RowKnown()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseRowRead = r.leaseRowRead || rowKnown
	if r.nodes == 0 {
		r.nodes = record.Nodes
	}
	up := r.choose(record, known && !holds)
	if up != r.lastUpstream {
		r.log.Info("tables' upstream changed", "upstream", up.String(), "holds", holds)
		r.lastUpstream = up
	}
	return up
}

// choose selects the upstream. other is set if the newest known lease is held by another process. A
// relay named by peers takes precedence over an older lease, even one that this node believes it
// holds. The caller holds mu.
func (r *Relay) choose(record lease.Record, other bool) Upstream {
	relay := Peer{Address: record.Address, Token: record.Token}
	if r.namedRelay.Token > record.Token {
		relay, other = r.namedRelay, true
	}
	reading := r.reader.Address != ""
	failed := relay == r.failed && (reading || time.Now().Before(r.suspendedUntil))
	switch {
	case other && relay.Address != r.address && !failed:
		return relay
	case reading:
		return r.reader
	default:
		return Store{}
	}
}

// SetNodes sets the number of nodes.
func (r *Relay) SetNodes(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

// Nodes returns the number of nodes as far as known.
func (r *Relay) Nodes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes
}

// Pace returns how long this node batches changes that are not urgent: zero if it reads the store
// itself, otherwise proportional to the number of nodes that read from the same relay.
func (r *Relay) Pace() time.Duration {
	if _, follows := r.Upstream().(Peer); !follows {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace()
}

// pace is Pace for a node that follows a relay. The caller holds mu.
func (r *Relay) pace() time.Duration {
	return min(time.Duration(r.nodes)*pacePerNode, maxPace)
}
