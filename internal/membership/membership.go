package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/peer"
	"lilacvane/internal/rendezvous"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

// Settings of the protocol.
type Settings struct {
	// ProbeInterval is the time between two probes of a node.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe waits for its answer.
	ProbeTimeout time.Duration
	// SuspectFor is how long a member stays suspect before it counts as dead.
	SuspectFor time.Duration
	// Seeds are peer addresses (ip:port) asked for the member list at the start.
	Seeds []string
}

const (
	maximumUpdates   = 6
	maximumDatagram  = 1400
	indirectHelpers  = 2
	ownZoneShare     = 0.8
	deadProbeShare   = 0.1
	forgetDeadAfter  = 2 * time.Hour
	leavingFor       = 10 * time.Minute
	methodMembers    = "members"
	membersPage      = 200
	joinTimeout      = 2 * time.Second
	seedEvery        = 5  // probe intervals
	datagramOverhead = 28 // IPv4 and UDP headers
)

// Membership runs the protocol for one node.
type Membership struct {
	settings Settings
	list     *list
	socket   net.PacketConn
	client   *peer.Client
	traffic  *traffic.Counter
	logger   logr.Logger
	// ticks counts probe intervals; only Run uses it.
	ticks int

	mutex     sync.Mutex
	sequence  uint64
	waiting   map[uint64]chan uint64
	exchange  RevisionExchange
	listeners []func()
}

// New returns the membership of the node self, which sends and receives on
// socket.
func New(self wire.Member, settings Settings, socket net.PacketConn, client *peer.Client, counter *traffic.Counter, logger logr.Logger) *Membership {
	return &Membership{
		settings: settings, list: newList(self), socket: socket, client: client, traffic: counter, logger: logger,
		waiting:  make(map[uint64]chan uint64),
		exchange: noExchange{},
	}
}

// RevisionExchange tells what this node holds, and hears what probes tell of the
// peers.
type RevisionExchange interface {
	// Revision is this node's configuration revision.
	Revision() uint64
	// MachinesVersion is this node's version of the machine list.
	MachinesVersion() uint64
	// Newer is called when a peer at address holds a newer revision; entries
	// are the newest ones, if they came along.
	Newer(address string, revision uint64, entries []wire.Entry)
	// NewerMachines is called when a peer at address has a newer machine list.
	NewerMachines(address string)
	// Compared is called when a peer answered a probe that was sent at sent with
	// a revision that was not newer.
	Compared(sent time.Time)
}

type noExchange struct{}

func (noExchange) Revision() uint64                   { return 0 }
func (noExchange) MachinesVersion() uint64            { return 0 }
func (noExchange) Newer(string, uint64, []wire.Entry) {}
func (noExchange) NewerMachines(string)               {}
func (noExchange) Compared(time.Time)                 {}

// Exchange makes probes carry what this node holds. It is called before Run.
func (m *Membership) Exchange(exchange RevisionExchange) { m.exchange = exchange }

// OnChange registers a function called after the member list may have changed.
func (m *Membership) OnChange(listener func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listeners = append(m.listeners, listener)
}

// Register adds the handler by which joining nodes read the member list.
func (m *Membership) Register(server *peer.Server) {
	peer.Handle(server, methodMembers, func(_ context.Context, request wire.MembersRequest) (wire.MembersResponse, error) {
		if request.Self.Node != "" {
			m.mergeAll([]wire.Member{request.Self})
		}
		return page(m.list.all(), request.After), nil
	})
}

func page(members []wire.Member, after string) wire.MembersResponse {
	var response wire.MembersResponse
	for _, member := range members {
		if member.Node <= after {
			continue
		}
		if len(response.Members) == membersPage {
			response.More = true
			break
		}
		response.Members = append(response.Members, member)
	}
	return response
}

// Join reads the member list from every seed that answers and reports how many
// did.
func (m *Membership) Join(ctx context.Context) int {
	answered := 0
	for _, seed := range m.settings.Seeds {
		self, _ := m.list.get(m.list.self.Node)
		if seed == self.Address {
			continue
		}
		if err := m.readMembers(ctx, seed, self); err != nil {
			m.logger.V(1).Info("seed did not answer", "step", "join", "peer", seed, "error", err.Error())
			continue
		}
		answered++
	}
	return answered
}

func (m *Membership) readMembers(ctx context.Context, address string, self wire.Member) error {
	after := ""
	for {
		var response wire.MembersResponse
		request := wire.MembersRequest{Self: self, After: after}
		if err := m.client.Call(ctx, address, methodMembers, request, &response); err != nil {
			return err
		}
		m.mergeKnown(response.Members)
		if !response.More || len(response.Members) == 0 {
			return nil
		}
		after = response.Members[len(response.Members)-1].Node
	}
}

// Run receives datagrams and probes until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	go m.receive()
	ticker := time.NewTicker(m.settings.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = m.socket.Close()
			return
		case <-ticker.C:
			m.tick(ctx)
		}
	}
}

func (m *Membership) tick(ctx context.Context) {
	died := m.list.expire(time.Now(), m.settings.SuspectFor, leavingFor, forgetDeadAfter)
	for _, node := range died {
		m.logger.Info("member is dead", "step", "membership", "peer", node)
	}
	if len(died) > 0 {
		m.notify()
	}
	if target, ok := m.pickTarget(); ok {
		go m.probe(ctx, target)
	}
	m.ticks++
	if m.ticks%seedEvery == 0 {
		go m.joinMissingSeeds(ctx)
	}
}

// joinMissingSeeds asks seeds that are no members yet. Without it two parts of a
// fleet that started before they could reach each other would never meet.
func (m *Membership) joinMissingSeeds(ctx context.Context) {
	present := make(map[string]struct{})
	for _, member := range m.list.all() {
		if member.State != wire.MemberDead {
			present[member.Address] = struct{}{}
		}
	}
	self := m.Self()
	for _, seed := range m.settings.Seeds {
		if _, isMember := present[seed]; isMember {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		_ = m.readMembers(ctx, seed, self)
		cancel()
	}
}

// mergeKnown takes members that others know already: they are not passed on.
func (m *Membership) mergeKnown(members []wire.Member) {
	m.mergeAll(members)
	for _, member := range members {
		m.list.settle(member.Node)
	}
}

func (m *Membership) mergeAll(members []wire.Member) {
	changed := false
	now := time.Now()
	for _, member := range members {
		changed = m.list.merge(member, now) || changed
	}
	if changed {
		m.notify()
	}
}

func (m *Membership) notify() {
	m.mutex.Lock()
	listeners := m.listeners
	m.mutex.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// Announce tells a few members of a newer configuration revision at once instead
// of with the next probe, and sends the newest entries along.
func (m *Membership) Announce(fanout int, entries []wire.Entry) {
	for _, member := range m.some(fanout, "") {
		m.send(member.Address, wire.Probe{Kind: wire.ProbeAck, Entries: entries})
	}
}

// some returns up to count living members at random, without this node and
// another one.
func (m *Membership) some(count int, without string) []wire.Member {
	alive := m.Alive()
	var chosen []wire.Member
	for _, index := range rand.Perm(len(alive)) {
		member := alive[index]
		if member.Node == m.list.self.Node || member.Node == without {
			continue
		}
		if len(chosen) == count {
			break
		}
		chosen = append(chosen, member)
	}
	return chosen
}

// Leave announces that this node is leaving. It is told to a few members at
// once.
func (m *Membership) Leave() {
	m.list.setSelf(wire.MemberLeaving)
	m.Announce(2*indirectHelpers, nil)
	m.notify()
}

// Self returns this node's member record.
func (m *Membership) Self() wire.Member {
	self, _ := m.list.get(m.list.self.Node)
	return self
}

// Get returns a member by node name.
func (m *Membership) Get(node string) (wire.Member, bool) { return m.list.get(node) }

// All returns every known member in name order; it must not be changed.
func (m *Membership) All() []wire.Member { return m.list.all() }

// Alive returns the members not known to be dead or leaving, suspects and this
// node included, in name order. The slice is shared and must not be changed.
func (m *Membership) Alive() []wire.Member { return m.list.living() }

// Version grows with every change of the member list.
func (m *Membership) Version() uint64 { return m.list.currentVersion() }

// Owner returns the member responsible for a key among the alive members that
// the filter admits; the second result is false when there is none.
func (m *Membership) Owner(key string, admit func(wire.Member) bool) (wire.Member, bool) {
	best := wire.Member{}
	var bestWeight uint64
	for _, member := range m.list.living() {
		if !admit(member) {
			continue
		}
		weight := rendezvous.Weight(key, member.Node)
		if best.Node == "" || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best, best.Node != ""
}
