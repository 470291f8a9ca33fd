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

// Run takes, renews and watches the lease until ctx ends.
func (l *Lessor) Run(ctx context.Context) {
	if l.options.LookAtOnce {
		l.lookAtOnce(ctx)
	}
	// Nodes that start together do not all try to take it at once.
	wait.For(ctx, rand.N(l.options.Interval/2)+l.options.Reluctance())
	for ctx.Err() == nil {
		l.step(ctx)
		l.rest(ctx, l.pause())
	}
}

// firstLookSpread spreads the first looks of nodes that start together.
const firstLookSpread = 80 * time.Millisecond

// lookAtOnce looks at the row before this process waits for its turn to take it, so that who
// holds the lease is known soon. The next step looks again: where all were started
// together, the row may be from before.
func (l *Lessor) lookAtOnce(ctx context.Context) {
	wait.For(ctx, rand.N(firstLookSpread))
	l.noteLoss(l.look(ctx))
}

// Retry ends the pause before the next step: other calls show that the store answers again.
func (l *Lessor) Retry() {
	select {
	case l.again <- struct{}{}:
	default:
	}
}

// rest waits until the next step is due, the store answers again, or a holder yielded.
func (l *Lessor) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.again:
	case <-l.wake:
		spread := l.options.Interval / 2 * time.Duration(l.crowd())
		wait.For(ctx, yieldPatience+l.options.Reluctance()+rand.N(spread))
	}
}

// retryPause lies between a renewal that was not confirmed and the next one.
const retryPause = 50 * time.Millisecond

// unreachablePause is how many times as long the others wait between two looks
// while the store does not answer them.
const unreachablePause = 4

const (
	// nodesPerCrowd is for how many nodes the pauses of each need not be longer.
	nodesPerCrowd = 16
	// largestCrowd bounds how many times as long they are.
	largestCrowd = 4
)

// crowd is how many times as long each node waits, so that many do not all call the
// store at once.
func (l *Lessor) crowd() int {
	return min(max(l.nodes()/nodesPerCrowd, 1), largestCrowd)
}

// pause is the time until the next step.
func (l *Lessor) pause() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	pause := l.options.Interval/2 + rand.N(l.options.Interval)
	switch {
	case l.held && l.retry:
		return retryPause
	case l.held:
		return l.options.Interval
	case l.lost && l.read:
		return unreachablePause * pause * time.Duration(l.crowd())
	case l.lost:
		return unreachablePause * pause
	default:
		return pause
	}
}

func (l *Lessor) step(ctx context.Context) {
	if l.Holds() {
		l.renew(ctx)
		return
	}
	if l.othersTell(ctx) {
		return
	}
	l.looked = true
	if err := l.look(ctx); err != nil {
		l.noteLoss(err)
		return
	}
	l.noteLoss(nil)
	if l.mayTake() {
		l.take(ctx)
	}
}

// othersTell reports whether this process need not look at the row now, as it hears of the
// holder, or of the row, from others.
func (l *Lessor) othersTell(ctx context.Context) bool {
	if l.options.LookFirst && !l.looked {
		return false
	}
	return l.options.Heard != nil && l.options.Heard() || l.ask(ctx)
}

// ask reads the row from another node. It returns whether this one need not look itself.
func (l *Lessor) ask(ctx context.Context) bool {
	if l.options.Ask == nil {
		return false
	}
	value, revision, ok := l.options.Ask(ctx)
	if !ok {
		return false
	}
	if revision == 0 {
		return true
	}
	if err := l.saw(value, revision); err != nil {
		l.log.Info("lease told by a peer unreadable", "revision", revision, "error", err.Error())
		return false
	}
	return true
}

// Row returns the row as this process knows it; a revision of zero is none.
func (l *Lessor) Row() (value []byte, revision uint64, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.read || l.revision == 0 {
		return nil, 0, nil
	}
	value, err = json.Marshal(l.seen)
	return value, l.revision, err
}

// take writes this process as the holder.
func (l *Lessor) take(ctx context.Context) {
	nodes := l.nodes()
	l.mutex.Lock()
	record := l.self
	record.Nodes = nodes
	record.Token = l.seen.Token + 1
	record.Renewal = 1
	expected := l.revision
	actsFrom := l.othersUntil
	l.settle(&record, actsFrom)
	l.mutex.Unlock()
	revision, sent, err := l.put(ctx, record, expected)
	if err != nil {
		l.log.Info("lease not taken", "token", record.Token, "expected", expected, "error", err.Error())
		return
	}
	l.hold(record, revision, sent, actsFrom)
	l.log.Info("lease taken", "token", record.Token, "revision", revision, "actsInMs", max(actsFrom.Sub(l.options.Now()), 0).Milliseconds())
}

func (l *Lessor) put(ctx context.Context, record Record, expected uint64) (uint64, time.Time, error) {
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

func (l *Lessor) hold(record Record, revision uint64, sent, actsFrom time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen, l.revision, l.seenAt, l.held = record, revision, l.options.Now(), true
	l.validUntil = sent.Add(l.options.Validity)
	l.actsFrom = actsFrom
	l.confirmed = record.Renewal
}

// renew writes the next renewal. When its answer is lost, the row tells at the
// next step whether it, or another holder's write, took effect.
func (l *Lessor) renew(ctx context.Context) {
	nodes := l.nodes()
	l.mutex.Lock()
	if l.stopped {
		l.mutex.Unlock()
		return
	}
	record := l.seen
	record.Nodes = nodes
	record.Renewal++
	if l.yielded() {
		record.Token++
	}
	expected, actsFrom := l.revision, l.actsFrom
	l.settle(&record, actsFrom)
	l.mutex.Unlock()
	revision, sent, err := l.put(ctx, record, expected)
	l.noteLoss(err)
	l.noteRetry(err)
	if err == nil {
		l.hold(record, revision, sent, actsFrom)
		return
	}
	l.reconcile(ctx)
}

// noteRetry lets the next renewal follow soon after one that got no answer; a store
// that refuses is left alone for the usual time.
func (l *Lessor) noteRetry(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.retry = err != nil && fault.OutcomeOf(err) != fault.NotDone
}

// reconcile reads the row after a renewal that was not confirmed. A late own
// renewal keeps the lease, but does not lengthen its validity: when it was sent
// is not known any more.
func (l *Lessor) reconcile(ctx context.Context) {
	if err := l.look(ctx); err != nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := l.seen.Holder == l.self.Holder && l.seen.Process == l.self.Process && !l.seen.Released
	if l.held && !own {
		l.held = false
		l.log.Info("lease lost", "holder", l.seen.Holder, "token", l.seen.Token)
	}
}

func (l *Lessor) noteLoss(err error) {
	if !l.changeLoss(err != nil) {
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

// changeLoss notes whether the store is lost, and reports whether that is new.
func (l *Lessor) changeLoss(lost bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed := lost != l.lost
	l.lost = lost
	return changed
}
