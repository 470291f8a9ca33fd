package lease

import "time"

// HolderStatus describes a lease. Its holder sends it to the other nodes directly, in
// addition to the row, so that they wait no longer than necessary when the lease is lost.
type HolderStatus struct {
	// Token identifies the lease that the status is about.
	Token uint64
	// Renewal is the newest renewal that was confirmed to the holder.
	Renewal uint64
	// Yielded is set when the holder no longer acts under Token because its last renewal
	// expired. It continues only under a new token, and only if no other node took the lease.
	Yielded bool
	// Quiet is the time since any node last acted, measured when the holder yielded.
	Quiet time.Duration
}

// observedStatus combines the statuses that a node received about the newest lease.
type observedStatus struct {
	token   uint64
	renewal uint64
	// renewalAt is when a status first named the renewal; the renewal was sent before that.
	renewalAt time.Time
	// yielded is set when the holder announced that it no longer acts. yieldedAt is when the
	// announcement arrived; quietSince is the latest time at which the holder can have acted.
	yielded    bool
	yieldedAt  time.Time
	quietSince time.Time
}

// Status returns the holder's status of its lease; false if this process does not hold it.
// Once a returned status says Yielded, the process does not act under its token any more.
func (l *Elector) Status() (HolderStatus, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.held || l.ending() {
		return HolderStatus{}, false
	}
	status := HolderStatus{Token: l.latest.Token, Renewal: l.confirmed}
	now := l.options.Now()
	if now.Add(l.options.ActMargin).Before(l.validUntil) {
		return status, true
	}
	if quiet := l.sinceLastAct(); quiet >= 0 {
		l.yieldedToken = l.latest.Token
		status.Yielded, status.Quiet = true, quiet
	}
	return status, true
}

// yielded reports whether this process announced that it no longer acts under the newest
// record's token. The caller holds mutex.
func (l *Elector) yielded() bool { return l.yieldedToken != 0 && l.yieldedToken == l.latest.Token }

// ApplyStatus records a status received from a holder. It ignores statuses of leases older
// than the newest one known.
func (l *Elector) ApplyStatus(status HolderStatus) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	if status.Token < l.observed.token {
		return
	}
	if status.Token > l.observed.token {
		l.observed = observedStatus{token: status.Token}
	}
	if status.Renewal > l.observed.renewal {
		l.observed.renewal, l.observed.renewalAt = status.Renewal, now
	}
	if status.Yielded && !l.observed.yielded {
		l.observed.yielded, l.observed.yieldedAt, l.observed.quietSince = true, now, now.Add(-status.Quiet)
		l.log.Info("lease yielded", "token", status.Token, "quietMs", status.Quiet.Milliseconds())
		l.updateEarliestAct()
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// knownSince returns the earliest time by which a record just read is known to have been
// written: when a status first named its renewal, else now.
func (l *Elector) knownSince(record Record) time.Time {
	now := l.options.Now()
	if record.Token == l.observed.token && record.Renewal == l.observed.renewal && !l.observed.renewalAt.IsZero() {
		return l.observed.renewalAt
	}
	return now
}

// yieldGrace is the time for which other nodes leave a yielded lease to its holder, whose
// store may merely have been slow.
const yieldGrace = 300 * time.Millisecond

// holderYielded reports whether the holder of the newest record announced that it no longer
// acts. The caller holds mutex.
func (l *Elector) holderYielded() bool {
	return l.observed.yielded && l.observed.token == l.latest.Token
}
