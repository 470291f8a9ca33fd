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

// pickTarget prefers members of the own zone; now and then it picks a dead one,
// so that parts of the fleet that lost each other meet again.
func (m *Membership) pickTarget() (wire.Member, bool) {
	var near, far, dead []wire.Member
	for _, member := range m.list.all() {
		switch {
		case member.Node == m.list.self.Node:
		case member.State == wire.MemberDead:
			dead = append(dead, member)
		case member.Zone == m.list.self.Zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	wantsDead := rand.Float64() < deadProbeShare || len(near)+len(far) == 0
	if len(dead) > 0 && wantsDead {
		return dead[rand.IntN(len(dead))], true
	}
	wantsNear := rand.Float64() < ownZoneShare || len(far) == 0
	if len(near) > 0 && wantsNear {
		return near[rand.IntN(len(near))], true
	}
	if len(far) > 0 {
		return far[rand.IntN(len(far))], true
	}
	return wire.Member{}, false
}

func (m *Membership) probe(ctx context.Context, target wire.Member) {
	if m.ping(target.Address, wire.Probe{Kind: wire.ProbePing}, m.settings.ProbeTimeout) {
		m.reached(target)
		return
	}
	if target.State != wire.MemberAlive || ctx.Err() != nil {
		return
	}
	if m.askOthers(target) {
		return
	}
	if m.list.downgrade(target.Node, wire.MemberAlive, wire.MemberSuspect, time.Now()) {
		m.logger.V(1).Info("member is suspect", "step", "membership", "peer", target.Node)
		m.notify()
	}
}

// reached is called when a member answered. One thought suspect or dead is told
// so; it then states anew that it is alive.
func (m *Membership) reached(target wire.Member) {
	current, ok := m.list.get(target.Node)
	if !ok || current.State == wire.MemberAlive || current.State == wire.MemberLeaving {
		return
	}
	m.send(target.Address, wire.Probe{Kind: wire.ProbePing, Sequence: m.nextSequence(nil), Updates: []wire.Member{current}})
}

func (m *Membership) askOthers(target wire.Member) bool {
	helpers := m.Alive()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	answered := make(chan uint64, 1)
	asked := 0
	for _, helper := range helpers {
		if helper.Node == target.Node || helper.Node == m.list.self.Node {
			continue
		}
		sequence := m.nextSequence(answered)
		defer m.stopWaiting(sequence)
		m.send(helper.Address, wire.Probe{Kind: wire.ProbeRequest, Sequence: sequence, Target: target.Address})
		if asked++; asked == indirectHelpers {
			break
		}
	}
	if asked == 0 {
		return false
	}
	select {
	case <-answered:
		return true
	case <-time.After(2 * m.settings.ProbeTimeout):
		return false
	}
}

// ping sends a probe and waits for its answer.
func (m *Membership) ping(address string, probe wire.Probe, timeout time.Duration) bool {
	answered := make(chan uint64, 1)
	probe.Sequence = m.nextSequence(answered)
	defer m.stopWaiting(probe.Sequence)
	sent := time.Now()
	m.send(address, probe)
	select {
	case revision := <-answered:
		if revision <= m.exchange.Revision() {
			m.exchange.Compared(sent)
		}
		return true
	case <-time.After(timeout):
		return false
	}
}

func (m *Membership) nextSequence(answered chan uint64) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sequence++
	if answered != nil {
		m.waiting[m.sequence] = answered
	}
	return m.sequence
}

func (m *Membership) stopWaiting(sequence uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.waiting, sequence)
}

func (m *Membership) send(address string, probe wire.Probe) {
	probe.From = m.list.self.Address
	probe.Revision = m.exchange.Revision()
	probe.Machines = m.exchange.MachinesVersion()
	probe.Updates = append(probe.Updates, m.list.updates(maximumUpdates)...)
	content, err := wire.Encode(probe)
	if err != nil {
		m.logger.Error(err, "probe not encoded", "step", "membership", "peer", address)
		return
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	if _, err := m.socket.WriteTo(content, target); err == nil {
		m.traffic.Sent.Add(int64(len(content) + datagramOverhead))
		m.traffic.Note("datagram sent", len(content)+datagramOverhead)
	}
}

func (m *Membership) receive() {
	buffer := make([]byte, 2*maximumDatagram)
	for {
		size, from, err := m.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		m.traffic.Received.Add(int64(size + datagramOverhead))
		m.traffic.Note("datagram received", size+datagramOverhead)
		var probe wire.Probe
		if err := wire.Decode(buffer[:size], from.String(), &probe); err != nil {
			m.logger.V(1).Info("datagram refused", "step", "membership", "peer", from.String(), "error", err.Error())
			continue
		}
		m.handle(probe)
	}
}

func (m *Membership) handle(probe wire.Probe) {
	m.mergeAll(probe.Updates)
	if probe.Revision > m.exchange.Revision() {
		m.exchange.Newer(probe.From, probe.Revision, probe.Entries)
	}
	if probe.Machines > m.exchange.MachinesVersion() {
		m.exchange.NewerMachines(probe.From)
	}
	switch probe.Kind {
	case wire.ProbePing:
		m.send(probe.From, wire.Probe{Kind: wire.ProbeAck, Sequence: probe.Sequence, Updates: m.doubts(probe.From)})
	case wire.ProbeRequest:
		go m.relay(probe)
	case wire.ProbeAck:
		m.answer(probe.Sequence, probe.Revision)
	}
}

func (m *Membership) relay(probe wire.Probe) {
	if m.ping(probe.Target, wire.Probe{Kind: wire.ProbePing}, m.settings.ProbeTimeout) {
		m.send(probe.From, wire.Probe{Kind: wire.ProbeAck, Sequence: probe.Sequence})
	}
}

// doubts returns what this node wrongly believes of a member that just sent a
// probe, so that the member can refute it.
func (m *Membership) doubts(address string) []wire.Member {
	for _, member := range m.list.all() {
		doubted := member.State == wire.MemberSuspect || member.State == wire.MemberDead
		if doubted && member.Address == address {
			return []wire.Member{member}
		}
	}
	return nil
}

func (m *Membership) answer(sequence, revision uint64) {
	m.mutex.Lock()
	answered, ok := m.waiting[sequence]
	m.mutex.Unlock()
	if !ok {
		return
	}
	select {
	case answered <- revision:
	default:
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
	members := m.Alive()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members {
		if member.Node == m.list.self.Node {
			continue
		}
		if fanout == 0 {
			return
		}
		fanout--
		m.send(member.Address, wire.Probe{Kind: wire.ProbeAck, Entries: entries})
	}
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
// node included.
func (m *Membership) Alive() []wire.Member {
	var alive []wire.Member
	for _, member := range m.list.all() {
		if member.State == wire.MemberAlive || member.State == wire.MemberSuspect {
			alive = append(alive, member)
		}
	}
	return alive
}

// Owner returns the member responsible for a key among the alive members that
// the filter admits; the second result is false when there is none.
func (m *Membership) Owner(key string, admit func(wire.Member) bool) (wire.Member, bool) {
	best := wire.Member{}
	var bestWeight uint64
	for _, member := range m.list.all() {
		usable := member.State == wire.MemberAlive || member.State == wire.MemberSuspect
		if !usable || !admit(member) {
			continue
		}
		weight := rendezvous.Weight(key, member.Node)
		if best.Node == "" || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best, best.Node != ""
}
