package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
)

// Run acquires, renews and watches the lease until ctx is done.
func (l *Elector) Run(ctx context.Context) {
	if l.options.ReadAtStart {
		l.readAtStart(ctx)
	}
	// Nodes that start together should not all try to take the lease at once.
	wait.For(ctx, rand.N(l.options.Interval/2)+l.options.TakeoverDelay())
	for ctx.Err() == nil {
		l.step(ctx)
		l.pauseUntilNextStep(ctx, l.nextPause())
	}
}

// firstReadJitter spreads the first reads of nodes that start together.
const firstReadJitter = 80 * time.Millisecond

// readAtStart reads the row before this process waits for its turn to take the lease, so
// that the holder is known early. The next step reads it again: if all nodes were started
// together, the row may date from before.
func (l *Elector) readAtStart(ctx context.Context) {
	wait.For(ctx, rand.N(firstReadJitter))
	l.logStoreChange(l.readRow(ctx))
}

// Retry ends the pause before the next step. It is called when other calls show that the
// store answers again.
func (l *Elector) Retry() {
	select {
	case l.retryNow <- struct{}{}:
	default:
	}
}

// pauseUntilNextStep waits until the pause is over, the store answers again, or the holder
// has yielded.
func (l *Elector) pauseUntilNextStep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.retryNow:
	case <-l.wake:
		spread := l.options.Interval / 2 * time.Duration(l.pauseFactor())
		wait.For(ctx, yieldGrace+l.options.TakeoverDelay()+rand.N(spread))
	}
}

// retryPause is the time between an unconfirmed renewal and the next one.
const retryPause = 50 * time.Millisecond

// outageFactor multiplies the time between two reads of a node that does not hold the lease
// while the store does not answer it.
const outageFactor = 4

const (
	// nodesPerPauseFactor is how many contending nodes there are per unit of the pause factor.
	// With fewer than twice as many, pauses need not be longer.
	nodesPerPauseFactor = 16
	// maxPauseFactor bounds the pause factor.
	maxPauseFactor = 4
)

// pauseFactor returns how many times longer each node waits, so that many nodes do not all
// call the store at once.
func (l *Elector) pauseFactor() int {
	return min(max(l.nodes()/nodesPerPauseFactor, 1), maxPauseFactor)
}

// nextPause returns the time until the next step.
func (l *Elector) nextPause() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pause := l.options.Interval/2 + rand.N(l.options.Interval)
	switch {
	case l.held && l.retrySoon:
		return retryPause
	case l.held:
		return l.options.Interval
	case l.storeLost && l.rowKnown:
		return outageFactor * pause * time.Duration(l.pauseFactor())
	case l.storeLost:
		return outageFactor * pause
	default:
		return pause
	}
}

// step renews the lease if this process holds it. Otherwise it finds out who does, and takes
// the lease if it is free.
func (l *Elector) step(ctx context.Context) {
	if l.Holds() {
		l.renew(ctx)
		return
	}
	if l.learnsFromOthers(ctx) {
		return
	}
	l.readStore = true
	if err := l.readRow(ctx); err != nil {
		l.logStoreChange(err)
		return
	}
	l.logStoreChange(nil)
	if l.mayTake() && (l.options.Fit == nil || l.options.Fit(ctx) || l.mayTakeUnfit()) {
		l.take(ctx)
	}
}

// learnsFromOthers reports whether the row need not be read from the store now, because
// this node recently received an answer from the holder or reads the row from a peer.
func (l *Elector) learnsFromOthers(ctx context.Context) bool {
	if l.options.ReadStoreOnce && !l.readStore {
		return false
	}
	return l.options.HolderAnswered != nil && l.options.HolderAnswered() || l.readFromPeer(ctx)
}

// readFromPeer reads the row from another node. It reports whether the store need not be
// read.
func (l *Elector) readFromPeer(ctx context.Context) bool {
	if l.options.ReadFromPeer == nil {
		return false
	}
	value, revision, ok := l.options.ReadFromPeer(ctx)
	if !ok {
		return false
	}
	if !revision.Exists() {
		return true
	}
	record, err := decodeRecord(value)
	if err != nil {
		l.log.Info("lease row from a peer is unreadable", "revision", revision, "error", err.Error())
		return false
	}
	l.applyRecord(record, revision.InEpoch(l.epoch()))
	return true
}

// epoch returns the epoch of the newest row known; zero if it is not known.
func (l *Elector) epoch() table.Epoch {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.revision.Epoch()
}

// Row returns the newest row that this process knows, encoded as in the store. A revision of
// zero means that it knows none.
func (l *Elector) Row() (value []byte, revision table.Revision, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.rowKnown || !l.revision.Exists() {
		return nil, 0, nil
	}
	value, err = json.Marshal(l.latest)
	return value, l.revision, err
}

// take tries to write this process as the holder.
func (l *Elector) take(ctx context.Context) {
	nodes := l.nodes()
	l.mutex.Lock()
	record := l.self
	record.Nodes = nodes
	record.Token = l.nextToken()
	record.Renewal = 1
	record.Epoch = l.revision.Epoch()
	expected := l.revision
	actsFrom := l.earliestAct
	l.setGap(&record, actsFrom)
	l.mutex.Unlock()
	revision, sent, err := l.writeRow(ctx, record, expected)
	if err != nil {
		l.log.Info("lease not taken", "token", record.Token, "expected", expected, "error", err.Error())
		return
	}
	l.setHeld(record, revision, sent, actsFrom)
	l.log.Info("lease taken", "token", record.Token, "revision", revision, "actsInMs", max(actsFrom.Sub(l.options.Now()), 0).Milliseconds())
}

// writeRow writes the record if the row still has the expected revision. It returns the new
// revision and the time right before the write was sent.
func (l *Elector) writeRow(ctx context.Context, record Record, expected table.Revision) (table.Revision, time.Time, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, time.Time{}, fault.From(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	sent := l.options.Now()
	revision, err := l.table.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: l.key, Revision: expected}},
		Writes:     []table.Write{{Key: l.key, Value: value}},
	})
	return revision, sent, err
}

// setHeld records that the store confirmed a record of this process that was sent at the
// given time.
func (l *Elector) setHeld(record Record, revision table.Revision, sent, actsFrom time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.latest, l.revision, l.seenAt, l.held, l.restoredAt = record, revision, l.options.Now(), true, time.Time{}
	l.validUntil = sent.Add(l.options.Validity)
	l.actsFrom = actsFrom
	l.confirmed = record.Renewal
}

// renew writes the next renewal. If its answer is lost, reading the row shows whether the
// renewal or another holder's write took effect.
func (l *Elector) renew(ctx context.Context) {
	nodes := l.nodes()
	l.mutex.Lock()
	if l.ending() {
		l.mutex.Unlock()
		return
	}
	record := l.latest
	record.Nodes = nodes
	record.Renewal++
	record.Epoch = l.revision.Epoch()
	if l.awaitLostHolders() || l.yielded() {
		record.Token = l.nextToken()
	}
	expected, actsFrom := l.revision, l.actsFrom
	l.setGap(&record, actsFrom)
	l.mutex.Unlock()
	revision, sent, err := l.writeRow(ctx, record, expected)
	l.logStoreChange(err)
	l.setRetrySoon(err)
	if err == nil {
		l.setHeld(record, revision, sent, actsFrom)
		return
	}
	l.reconcile(ctx)
}

// setRetrySoon makes the next renewal follow soon after one whose outcome is unknown. A
// store that refused the write is called again only after the usual interval.
func (l *Elector) setRetrySoon(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retrySoon = err != nil && fault.OutcomeOf(err) != fault.NotDone
}

// reconcile reads the row after an unconfirmed renewal. If the renewal took effect late,
// the lease is kept, but its validity is not extended, because the time at which the
// renewal was sent is no longer known.
func (l *Elector) reconcile(ctx context.Context) {
	if err := l.readRow(ctx); err != nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := l.latest.Holder == l.self.Holder && l.latest.Process == l.self.Process && !l.latest.Released
	if l.held && !own {
		l.held = false
		l.log.Info("lease lost", "holder", l.latest.Holder, "token", l.latest.Token)
	}
}

// logStoreChange logs when the store begins to fail or answers again, by the result of a
// call to it, and calls Regained in the second case.
func (l *Elector) logStoreChange(err error) {
	if !l.setStoreLost(err != nil) {
		return
	}
	if err != nil {
		l.log.Info("dependency lost", "error", err.Error())
		return
	}
	l.log.Info("dependency regained")
	if l.options.Regained != nil {
		l.options.Regained()
	}
}

// setStoreLost records whether the store fails, and reports whether that changed.
func (l *Elector) setStoreLost(lost bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed := lost != l.storeLost
	l.storeLost = lost
	return changed
}
