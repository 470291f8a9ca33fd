package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// skipLeaseCheck reports whether the elector may skip reading the lease row: the holder still
// answers, this node is searching for a reader, or other nodes check first.
func (r *Relay) skipLeaseCheck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.relayAnswered) < relayAnswerValidity+r.pace() || r.searching() || r.leavesLeaseCheckToOthers()
}

// suspendRelay avoids a relay for a while and cancels the calls to it.
func (r *Relay) suspendRelay(relay Peer, table Table, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay == r.failed && time.Now().Before(r.suspendedUntil) {
		return
	}
	r.failed = relay
	r.suspendedUntil = time.Now().Add(minSuspension + rand.N(minSuspension/2))
	r.relayAnswered = time.Time{}
	close(r.upstreamLost)
	r.upstreamLost = make(chan struct{})
	r.log.Info("dependency lost", "dependency", "relay", "peer", relay.Address, "table", table, "error", err.Error())
}

// failedRelay returns the relay that failed last.
func (r *Relay) failedRelay() Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// lossChannel returns a channel that is closed when the current upstream is lost.
func (r *Relay) lossChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreamLost
}

// UpstreamFound returns a channel that is closed once this node has found an upstream again, so
// that a follower in backoff can retry at once.
func (r *Relay) UpstreamFound() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.found
}

// notifyFound wakes the followers of all tables. The caller holds mu.
func (r *Relay) notifyFound() {
	close(r.found)
	r.found = make(chan struct{})
}

// recordStoreAnswer records that the store has just answered this node.
func (r *Relay) recordStoreAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.storeAnswered) > maxAge {
		close(r.storeHeard)
		r.storeHeard = make(chan struct{})
	}
	r.storeAnswered, r.tableReceived = time.Now(), true
	r.clearStoreFailure()
}

// storeRecovered is called when the store answers calls for the lease of the group again.
func (r *Relay) storeRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clearStoreFailure()
}

// clearStoreFailure forgets that the store failed calls of this node. The caller holds mu.
func (r *Relay) clearStoreFailure() {
	if !r.storeFailedAt.IsZero() {
		r.storeFailedAt = time.Time{}
		r.notifyFound()
		r.elector.Retry()
	}
}

// storeRecovery returns the channel of UpstreamFound while the store fails the calls of this node,
// and nil otherwise.
func (r *Relay) storeRecovery() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeFailedAt.IsZero() {
		return nil
	}
	return r.found
}

// recordStoreFailure records that the store failed a call of this node for a table.
func (r *Relay) recordStoreFailure(table Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailedAt, r.storeFailedTable = time.Now(), table
}

// mayProbeStore decides whether this node calls the store itself although its relay has not reached
// it for long. Once the store has failed this node too, the report of the relay is enough: in a
// large fleet only the standbys and a few others retry soon.
func (r *Relay) mayProbeStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.storeFailedAt) > reprobeInterval || r.nodes <= storeProbers || slices.Contains(r.standbys, r.address) {
		return true
	}
	return rand.Float64() < storeProbers/float64(r.nodes)
}

// otherTableFailed reports whether the store has just failed a call of this node for another table.
// Only one table at a time probes whether the store is back.
func (r *Relay) otherTableFailed(table Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return table != r.storeFailedTable && time.Since(r.storeFailedAt) < sharedFailurePeriod
}

// recordRelayAnswer records a fresh answer of the relay.
func (r *Relay) recordRelayAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayAnswered, r.tableReceived = time.Now(), true
	if r.staleRelay != (Peer{}) {
		r.log.Info("dependency regained", "dependency", "relay's word of the store")
		r.staleRelay = Peer{}
		r.notifyFound()
	}
}

// recordStaleRelay logs once that the data of a relay is too old.
func (r *Relay) recordStaleRelay(relay Peer, table Table, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.staleRelay == relay {
		return
	}
	r.staleRelay = relay
	r.log.Info("dependency lost", "dependency", "relay's word of the store", "peer", relay.Address, "table", table, "error", err.Error())
}

// isStale reports whether the data of a relay was too old when this node last called it.
func (r *Relay) isStale(relay Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.staleRelay == relay
}

// age returns the time since the store last answered this node.
func (r *Relay) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.storeAnswered)
}
