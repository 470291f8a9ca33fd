// Package relay lets the nodes of a group read the store's tables through one of
// them, so that the store is called by one node a group and not by all. The node
// that holds the group's lease reads the store and keeps a mirror of each table;
// the others follow its mirrors. A node turns to the store itself as soon as the
// relay does not answer in time, or has not heard of the store for too long.
//
// What comes through a relay is as old as its answer says at most, and a reader
// never steps back: revisions are the store's own, whoever tells them.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/lease"
	"lilacvane/internal/table"
)

// Table names a table that is relayed; all nodes of a group use the same names.
type Table string

// Group names the nodes that share a relay.
type Group string

// LeaseKey is the key of the group's lease.
func (g Group) LeaseKey() string { return "relay." + string(g) }

const (
	leaseInterval = 500 * time.Millisecond
	leaseValidity = time.Second
	leaseTimeout  = 800 * time.Millisecond
	// callMargin is how long a relay's answer may take beyond its hold.
	callMargin = 350 * time.Millisecond
	// wholeMargin is the same for a page of a whole table, which hundreds of readers may ask
	// for at once. That the relay is lost other calls show sooner.
	wholeMargin = 2 * time.Second
	// maxAge is how long ago a relay may have heard of the store.
	maxAge = 900 * time.Millisecond
	// heardFor is how long an answer of the relay proves that it is there.
	heardFor = 1200 * time.Millisecond
	// pacePerNode is the least time between two answers of a relay that bring no urgent news, so
	// that the work for its readers stays bounded however many they are.
	pacePerNode = time.Millisecond
	// longestPace bounds the age of news.
	longestPace = 2 * time.Second
	// suspension is the least time for which a relay that failed is left alone;
	// up to half as much is added by chance.
	suspension = 1500 * time.Millisecond
	// lookers is how many nodes look for themselves when the relay has not heard of
	// the store for long.
	lookers = 8
	// lookAgain is after which time every node looks for itself once more.
	lookAgain = 2 * time.Second
	// refusalShared is how long a call that the store failed speaks for the node's
	// other tables.
	refusalShared = 400 * time.Millisecond
	// probeTimeout bounds a call that finds out whether the store answers again; as much as a call
	// may take beyond its wait, so that a slow store is not taken for one that is away.
	probeTimeout = 900 * time.Millisecond
	// maxHoldMs bounds, in milliseconds, how long a reader may have its question held.
	maxHoldMs = 15_000
)

// Upstream is where a node reads the tables: Store or Peer.
type Upstream interface {
	upstream()
	// String is store or the relay's address.
	String() string
}

// Store is the upstream of a node that reads the store itself.
type Store struct{}

// Peer is the upstream of a node that follows the group's relay.
type Peer struct {
	// Address is the relay's ip:port for peers.
	Address string
	// Token tells one holder of the group's lease from the next.
	Token uint64
}

func (Store) upstream() {}
func (Peer) upstream()  {}

// String returns store.
func (Store) String() string { return "store" }

// String returns the relay's address.
func (p Peer) String() string { return p.Address }

// Caller calls other nodes, as *peer.Client does.
type Caller interface {
	// Call sends a message and decodes the answer into response, a pointer. Its error is a
	// *fault.Error; ctx bounds it.
	Call(ctx context.Context, address, method string, request, response any) error
}

// Options are the parts of a relay.
type Options struct {
	Group  Group
	Node   string
	Leases table.Table
	// Address is where this node's peers reach it (ip:port), Process tells this
	// process from earlier ones of the node.
	Address string
	Process string
	Client  Caller
	// Reluctance is how much later than others this node becomes the relay.
	Reluctance func() time.Duration
	// FirstStart is set when the whole system starts for the first time: nobody waits
	// for it yet.
	FirstStart bool
	// Now is the clock of the group's lease; see lease.Options.
	Now func() time.Time
	Log logr.Logger
}

// Relay is a node's part in its group, as reader and as relay. Its methods may
// be called concurrently.
type Relay struct {
	lessor  *lease.Lessor
	client  Caller
	address string
	log     logr.Logger

	mu      sync.Mutex
	mirrors map[Table]*mirror
	// heard is when the store answered this node last, answered when its relay did.
	heard    time.Time
	answered time.Time
	// failed is the relay that is left alone until suspended; gone is closed when
	// the current one fails.
	failed    Peer
	suspended time.Time
	gone      chan struct{}
	// found is closed when this node has found where to read again.
	found   chan struct{}
	last    Upstream
	stopped bool
	// nodes is how many nodes there are, as far as is known. refusedAt is when the
	// store last failed a call of this node, refusedTable for which table.
	nodes        int
	refusedAt    time.Time
	refusedTable Table
	// stale is the relay whose word of the store was too old when this node asked it last.
	stale Peer
	// peers are addresses of other readers, for the case that the store is lost;
	// hint is the relay that they named, sought when they were asked last.
	peers  addressSet
	hint   Peer
	sought time.Time
	// firstStart and standbys decide whether this node turns to the store by itself; see
	// Direct.
	firstStart bool
	standbys   []string
	// began is when this process started, rowSeen is set once it knows the lease's row, started
	// once it was told of a table.
	began   time.Time
	rowSeen bool
	started bool
	// reader is a node without the lease that reads the store, from which this one
	// reads while there is no relay. lookingSince is when the look for one began, zero
	// for none, lookedAt when others were asked last, looks how many looks in vain there
	// were before this one.
	reader       Peer
	lookingSince time.Time
	lookedAt     time.Time
	looks        int
}

// New returns a node's part in its group. Run starts it.
func New(o Options) *Relay {
	r := &Relay{
		client: o.Client, address: o.Address, log: o.Log.WithValues("group", o.Group), mirrors: make(map[Table]*mirror), gone: make(chan struct{}), found: make(chan struct{}),
		firstStart: o.FirstStart, began: time.Now(),
	}
	r.lessor = lease.New(o.Leases, o.Group.LeaseKey(), o.Node, o.Address, o.Process, lease.Options{
		Validity: leaseValidity, Interval: leaseInterval, CallTimeout: leaseTimeout, Reluctance: o.Reluctance, Heard: r.relayHeard,
		Nodes: r.Nodes, LookFirst: true, LookAtOnce: !o.FirstStart, Regained: r.regainStore, Now: o.Now,
	}, o.Log)
	return r
}

// Run takes part in the group until ctx ends.
func (r *Relay) Run(ctx context.Context) { r.lessor.Run(ctx) }

// Release gives the group's lease back and refuses readers from here on, so that
// another node takes over. This node reads from that one, or from another reader.
func (r *Relay) Release(ctx context.Context) {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.lessor.Release(ctx)
}

// Upstream returns where this node reads the tables now.
func (r *Relay) Upstream() Upstream {
	record, known := r.lessor.Holder()
	holds, looked := r.lessor.Holds(), r.lessor.Looked()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rowSeen = r.rowSeen || looked
	if r.nodes == 0 {
		r.nodes = record.Nodes
	}
	up := r.choose(record, known && !holds)
	if up != r.last {
		r.log.Info("tables' upstream changed", "upstream", up.String(), "holds", holds)
		r.last = up
	}
	return up
}

// choose picks the upstream; other is set when the newest lease known is held by
// another process. A relay that peers named goes before an older lease, also
// before one that this node believes to hold. mu is held.
func (r *Relay) choose(record lease.Record, other bool) Upstream {
	relay := Peer{Address: record.Address, Token: record.Token}
	if r.hint.Token > record.Token {
		relay, other = r.hint, true
	}
	reading := r.reader.Address != ""
	failed := relay == r.failed && (reading || time.Now().Before(r.suspended))
	switch {
	case other && relay.Address != r.address && !failed:
		return relay
	case reading:
		return r.reader
	default:
		return Store{}
	}
}

// SetNodes tells how many nodes there are.
func (r *Relay) SetNodes(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

// Nodes returns how many nodes there are, as far as is known.
func (r *Relay) Nodes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes
}

// Pace is how long this node gathers news that are not urgent: nothing where it reads the store
// itself, the longer the more nodes read from the same relay.
func (r *Relay) Pace() time.Duration {
	if _, follows := r.Upstream().(Peer); !follows {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace()
}

// pace is Pace of a node that follows a relay; mu is held.
func (r *Relay) pace() time.Duration {
	return min(time.Duration(r.nodes)*pacePerNode, longestPace)
}
