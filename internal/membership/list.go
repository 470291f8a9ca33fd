// Package membership keeps each node's list of the other nodes. Nodes probe one
// another over UDP; every datagram carries a bounded number of member updates,
// so a node's cost does not grow with the fleet. Membership decides who is asked
// and who takes over, never what is safe.
package membership

import (
	"sort"
	"sync"
	"time"

	"lilacvane/internal/wire"
)

// entry is what this node knows of a member and when it learned it.
type entry struct {
	member wire.Member
	since  time.Time
	// sends counts how often the newest update was passed on.
	sends int
}

// list is the member list; it is pure state without I/O. Its mutex guards all
// fields.
type list struct {
	mutex    sync.Mutex
	self     wire.Member
	entries  map[string]*entry
	order    []string
	version  uint64
	cached   []wire.Member
	cachedAt uint64
	// alive holds the members that take work, as of aliveAt.
	alive   []wire.Member
	aliveAt uint64
}

func newList(self wire.Member) *list {
	l := &list{self: self, entries: make(map[string]*entry), version: 1}
	l.entries[self.Node] = &entry{member: self, since: time.Now()}
	return l
}

// merge takes a statement about a member if it is newer than what is known, and
// tells whether it was. A statement that this node itself is suspect or dead is
// answered by a newer one that it is not.
func (l *list) merge(m wire.Member, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if m.Node == l.self.Node {
		return l.refute(m)
	}
	known, exists := l.entries[m.Node]
	if !exists {
		l.entries[m.Node] = &entry{member: m, since: now}
		l.order = append(l.order, m.Node)
		l.changed()
		return true
	}
	if !newer(m, known.member) {
		return false
	}
	known.member = m
	known.since = now
	known.sends = 0
	l.changed()
	return true
}

// newer orders statements: a later start of the node, then a higher update, then
// the worse state.
func newer(m, known wire.Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Started > known.Started
	}
	if m.Update != known.Update {
		return m.Update > known.Update
	}
	return m.State > known.State
}

// refute is called with the mutex held.
func (l *list) refute(m wire.Member) bool {
	if m.Incarnation != l.self.Incarnation || m.State == l.self.State || m.Update < l.self.Update {
		return false
	}
	l.self.Update = m.Update + 1
	l.publishSelf()
	return true
}

func (l *list) publishSelf() {
	own := l.entries[l.self.Node]
	own.member = l.self
	own.sends = 0
	l.changed()
}

// setSelf changes this node's own state.
func (l *list) setSelf(state wire.MemberState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.self.State = state
	l.self.Update++
	l.publishSelf()
}

// downgrade marks a member as suspect or dead if it is still in state from.
func (l *list) downgrade(node string, from, to wire.MemberState, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, exists := l.entries[node]
	if !exists || known.member.State != from {
		return false
	}
	known.member.State = to
	known.since = now
	known.sends = 0
	l.changed()
	return true
}

// changed is called with the mutex held.
func (l *list) changed() { l.version++ }

// expire turns members that stayed suspect or leaving too long into dead ones
// and forgets dead ones after a while. It returns the nodes that died.
func (l *list) expire(now time.Time, suspectFor, leavingFor, forgetAfter time.Duration) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var died []string
	for node, known := range l.entries {
		age := now.Sub(known.since)
		if node == l.self.Node {
			continue
		}
		suspectTooLong := known.member.State == wire.MemberSuspect && age > suspectFor
		leavingTooLong := known.member.State == wire.MemberLeaving && age > leavingFor
		if suspectTooLong || leavingTooLong {
			known.member.State = wire.MemberDead
			known.since = now
			known.sends = 0
			died = append(died, node)
			l.changed()
		} else if known.member.State == wire.MemberDead && age > forgetAfter {
			l.forget(node)
		}
	}
	return died
}

func (l *list) forget(node string) {
	delete(l.entries, node)
	for index, name := range l.order {
		if name == node {
			l.order = append(l.order[:index], l.order[index+1:]...)
			break
		}
	}
	l.changed()
}

// updates returns the members whose newest statement was passed on least often,
// at most count, and counts them as passed on. Statements are passed on a number
// of times that grows with the logarithm of the list.
func (l *list) updates(count int) []wire.Member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit := disseminationLimit(len(l.entries))
	var fresh []*entry
	for _, known := range l.entries {
		if known.sends < limit {
			fresh = append(fresh, known)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sends != fresh[j].sends {
			return fresh[i].sends < fresh[j].sends
		}
		return fresh[i].member.Node < fresh[j].member.Node
	})
	var chosen []wire.Member
	for _, known := range fresh[:min(count, len(fresh))] {
		known.sends++
		chosen = append(chosen, known.member)
	}
	return chosen
}

// settle ends the passing on of what is known of a member.
func (l *list) settle(node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known, exists := l.entries[node]; exists && node != l.self.Node {
		known.sends = disseminationLimit(len(l.entries))
	}
}

func disseminationLimit(members int) int {
	const factor = 2
	limit := factor
	for size := 1; size < members; size *= 2 {
		limit += factor
	}
	return limit
}

func (l *list) get(node string) (wire.Member, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, ok := l.entries[node]
	if !ok {
		return wire.Member{}, false
	}
	return known.member, true
}

// all returns every member in name order. The slice is shared and must not be
// changed.
func (l *list) all() []wire.Member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sorted()
}

// sorted is called with the mutex held.
func (l *list) sorted() []wire.Member {
	if l.cachedAt == l.version {
		return l.cached
	}
	members := make([]wire.Member, 0, len(l.entries))
	for _, known := range l.entries {
		members = append(members, known.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	l.cached, l.cachedAt = members, l.version
	return members
}

// living returns the members that are alive or suspect, in name order. The slice
// is shared and must not be changed.
func (l *list) living() []wire.Member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.aliveAt == l.version {
		return l.alive
	}
	all := l.sorted()
	alive := make([]wire.Member, 0, len(all))
	for _, member := range all {
		if member.State == wire.MemberAlive || member.State == wire.MemberSuspect {
			alive = append(alive, member)
		}
	}
	l.alive, l.aliveAt = alive, l.version
	return alive
}

// currentVersion grows with every change of the list.
func (l *list) currentVersion() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.version
}
