package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// relayHeard tells the lessor that the lease need not be looked at, as the
// holder's relay answers, or as others look first.
func (r *Relay) relayHeard() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.answered) < heardFor+r.pace() || r.looking() || r.leavesLease()
}

// fail leaves a relay alone for a while and ends the calls to it.
func (r *Relay) fail(relay Peer, table Table, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay == r.failed && time.Now().Before(r.suspended) {
		return
	}
	r.failed = relay
	r.suspended = time.Now().Add(suspension + rand.N(suspension/2))
	r.answered = time.Time{}
	close(r.gone)
	r.gone = make(chan struct{})
	r.log.Info("dependency lost", "dependency", "relay", "peer", relay.Address, "table", table, "error", err.Error())
}

// failedRelay is the relay that failed last.
func (r *Relay) failedRelay() Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

func (r *Relay) goneChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// Found returns a channel that is closed once this node has found where to read again: a
// table's follower that backs off need not wait longer.
func (r *Relay) Found() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.found
}

// tellFound wakes the followers of all tables; mu is held.
func (r *Relay) tellFound() {
	close(r.found)
	r.found = make(chan struct{})
}

func (r *Relay) noteStore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard, r.started = time.Now(), true
	r.clearRefusal()
}

// regainStore notes that the store answers calls for the group's lease again.
func (r *Relay) regainStore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clearRefusal()
}

// clearRefusal forgets that the store failed this node's calls; mu is held.
func (r *Relay) clearRefusal() {
	if !r.refusedAt.IsZero() {
		r.refusedAt = time.Time{}
		r.tellFound()
		r.lessor.Retry()
	}
}

// lost returns the channel of Found while the store fails this node's calls, and nil otherwise.
func (r *Relay) lost() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusedAt.IsZero() {
		return nil
	}
	return r.found
}

// noteRefusal notes that the store failed this node's call for a table.
func (r *Relay) noteRefusal(table Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt, r.refusedTable = time.Now(), table
}

// mayLook decides whether this node looks for itself at a store of which its relay
// has not heard for long. Once the store failed this node too, the relay's word is
// enough: of many nodes only the standbys, and some others, look again soon.
func (r *Relay) mayLook() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.refusedAt) > lookAgain || r.nodes <= lookers || slices.Contains(r.standbys, r.address) {
		return true
	}
	return rand.Float64() < lookers/float64(r.nodes)
}

// refused reports whether the store has just failed another table's call of this
// node: one of them at a time finds out when it is back.
func (r *Relay) refused(table Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return table != r.refusedTable && time.Since(r.refusedAt) < refusalShared
}

func (r *Relay) noteRelay() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered, r.started = time.Now(), true
	if r.stale != (Peer{}) {
		r.log.Info("dependency regained", "dependency", "relay's word of the store")
		r.stale = Peer{}
		r.tellFound()
	}
}

// noteStale tells once of a relay whose word of the store is too old.
func (r *Relay) noteStale(relay Peer, table Table, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale == relay {
		return
	}
	r.stale = relay
	r.log.Info("dependency lost", "dependency", "relay's word of the store", "peer", relay.Address, "table", table, "error", err.Error())
}

// age is how long ago the store answered this node.
func (r *Relay) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heard)
}
