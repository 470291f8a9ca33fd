package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"lilacvane/internal/wire"
)

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
	answered := make(chan uint64, 1)
	helpers := m.some(indirectHelpers, target.Node)
	for _, helper := range helpers {
		sequence := m.nextSequence(answered)
		defer m.stopWaiting(sequence)
		m.send(helper.Address, wire.Probe{Kind: wire.ProbeRequest, Sequence: sequence, Target: target.Address})
	}
	if len(helpers) == 0 {
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
