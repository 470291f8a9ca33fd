// Package lease implements a named lease that at most one node holds at a time, stored as
// one row of the platform's table. The holder may act while its lease is valid by its own
// monotonic clock. A new holder acts only after the turn gap has passed since the last
// moment at which the previous holder can have acted.
package lease

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/clock"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// Record is the value of the lease's row.
type Record struct {
	// Holder is the name of the node that holds the lease.
	Holder string `json:"holder"`
	// Address is where peers reach the holder (ip:port).
	Address string `json:"address"`
	// Process distinguishes successive processes of one node.
	Process string `json:"process"`
	// Token increases whenever the holding process changes.
	Token uint64 `json:"token"`
	// Renewal increases with each renewal.
	Renewal uint64 `json:"renewal"`
	// Settled is set once the holder has waited out the turn gap after the previous holder.
	Settled bool `json:"settled,omitempty"`
	// Released is set when the holder has given up the lease and no longer acts.
	Released bool `json:"released,omitempty"`
	// QuietMs is the time in milliseconds since any node last acted, measured when the holder
	// released the lease. It is negative if an earlier holder could still act then.
	QuietMs int64 `json:"quietMs,omitempty"`
	// GapLeftMs is the rest of the turn gap after the previous holder, in milliseconds; zero
	// once the holder is settled.
	GapLeftMs int64 `json:"gapLeftMs,omitempty"`
	// Nodes is the number of nodes that contend for the lease, as far as the holder knows. A
	// starting node learns the number from here.
	Nodes int `json:"nodes,omitempty"`
	// Epoch is the epoch of the store in which the record was written; zero if it was not known.
	Epoch table.Epoch `json:"epoch,omitempty"`
}

// Options configures an Elector.
type Options struct {
	// Validity is how long the holder may act after it sent a renewal.
	Validity time.Duration
	// Interval is the time between renewals, and between reads of the row by the other nodes.
	Interval time.Duration
	// TurnGap is the minimum time between the last act of one node and the first act of
	// another.
	TurnGap time.Duration
	// ActMargin is how long before the end of its validity a holder stops acting. It covers
	// the duration of one act.
	ActMargin time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// TakeoverDelay is how much longer than others this node waits before it takes a free
	// lease, so that nodes with more spare capacity take it first. Nil means no delay.
	TakeoverDelay func() time.Duration
	// Fit finds out whether this node can act under the lease now. If not, it takes a free one only
	// unfitDelay later than others could. Nil means that it always can.
	Fit func(ctx context.Context) bool
	// HolderAnswered reports whether this node recently received an answer from the holder by other
	// means, in which case the row need not be read. If nil, the row is always read.
	HolderAnswered func() bool
	// ReadStoreOnce makes this process read the row from the store once, whatever HolderAnswered and
	// ReadFromPeer say: its node may have held the lease when the previous process ended, and
	// then continues at once.
	ReadStoreOnce bool
	// ReadAtStart makes Run read the row as soon as it begins, to learn who holds the lease.
	ReadAtStart bool
	// ReadFromPeer reads the row from another node instead of the store; it may be nil. ok is
	// false if this node must read the store itself. The row may be stale: it is handled like
	// a stale answer of the store, and a node that only reads from peers never takes the
	// lease.
	ReadFromPeer func(ctx context.Context) (value []byte, revision table.Revision, ok bool)
	// Nodes returns the number of nodes that contend for the lease, as far as is known; nil
	// means few. The more there are, the less often each reads the row of a store that does not
	// answer.
	Nodes func() int
	// Regained is called when the store answers again after a failed call; it may be nil.
	Regained func()
	// Now is a monotonic clock, by default clock.Now. It has to advance while the machine is
	// suspended, or a holder that was suspended would still consider its lease valid.
	Now func() time.Time
}

// Elector competes for one lease and holds it when it can. Its methods may be called
// concurrently.
type Elector struct {
	table   table.Table
	key     string
	self    Record
	options Options
	log     logr.Logger

	mutex sync.Mutex
	// latest is the newest record known; seenAt is when its revision was first seen.
	latest   Record
	revision table.Revision
	seenAt   time.Time
	rowKnown bool
	// restoredAt is when this process saw that the row is of a copy with which the store returned, so
	// that records written after the copy are lost. It is zero if the row was written in its epoch.
	restoredAt time.Time
	// earliestAct is the earliest time at which this process could act if it took the lease:
	// until then an earlier holder may act, or its turn gap has not passed.
	earliestAct time.Time
	// held is set while the newest record names this process as the holder.
	held bool
	// confirmed is the newest renewal of this process that the store confirmed.
	confirmed uint64
	// yieldedToken is the token under which this process announced that it no longer acts.
	yieldedToken uint64
	observed     observedStatus
	validUntil   time.Time
	actsFrom     time.Time
	lastAct      time.Time
	stopped      bool
	// handingOver is set while this process gives the lease up to another node.
	handingOver bool
	storeLost   bool
	// readStore is set once this process has read the row from the store.
	readStore bool
	// retrySoon is set while a renewal is unconfirmed.
	retrySoon bool
	// wake ends the pause between two steps when the holder has yielded; retryNow ends it when
	// the store answers again.
	wake     chan struct{}
	retryNow chan struct{}
}

// New returns an Elector for a node. process distinguishes this process from earlier ones of
// the same node.
func New(rows table.Table, key, node, address, process string, options Options, log logr.Logger) *Elector {
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.TakeoverDelay == nil {
		options.TakeoverDelay = func() time.Duration { return 0 }
	}
	return &Elector{
		table: rows, key: key, options: options, log: log.WithValues("lease", key),
		self: Record{Holder: node, Address: address, Process: process},
		// An earlier process of this node may have acted until now.
		lastAct:  options.Now(),
		wake:     make(chan struct{}, 1),
		retryNow: make(chan struct{}, 1),
	}
}

// Holds reports whether the newest record names this process as the holder.
func (l *Elector) Holds() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.held
}

// Term is a process's tenure of a lease.
type Term struct {
	// Held is set if the newest record names this process as the holder, and First if nobody held the lease
	// before it, as far as the store knows.
	Held  bool
	First bool
}

// Term returns this process's tenure.
func (l *Elector) Term() Term {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Term{Held: l.held, First: l.held && !l.restored() && l.latest.Token == firstToken(l.revision.Epoch())+1}
}

// Act returns the lease's token if the holder may act now, and records the time of the act.
// It must be called right before each act.
func (l *Elector) Act() (token uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.mayAct() {
		return 0, false
	}
	l.lastAct = l.options.Now()
	return l.latest.Token, true
}

// Valid reports whether this process holds the lease and its last renewal has not expired.
func (l *Elector) Valid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.held && !l.ending() && !l.yielded() && l.options.Now().Before(l.validUntil)
}

// Acting reports whether this process holds the lease and may act now.
func (l *Elector) Acting() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mayAct()
}

// sinceLastAct returns how long no node can have acted: the time since this process's last
// act or since the last moment at which the previous holder can have acted, whichever is
// later. The result is negative while that moment lies in the future. The caller holds
// mutex.
func (l *Elector) sinceLastAct() time.Duration {
	last := l.lastAct
	if others := l.actsFrom.Add(-l.options.TurnGap); !l.actsFrom.IsZero() && others.After(last) {
		last = others
	}
	return l.options.Now().Sub(last)
}

// floorMs rounds down to whole milliseconds, also below zero.
func floorMs(d time.Duration) int64 { return int64(math.Floor(float64(d) / float64(time.Millisecond))) }

// setGap records whether the holder still waits out a turn gap, and for how long. It is
// called right before the record is sent.
func (l *Elector) setGap(record *Record, actsFrom time.Time) {
	wait := max(actsFrom.Sub(l.options.Now()), 0)
	record.Settled = wait == 0
	record.GapLeftMs = -floorMs(-wait)
}

// nodes returns how many nodes contend for the lease; zero if unknown.
func (l *Elector) nodes() int {
	if l.options.Nodes == nil {
		return 0
	}
	return l.options.Nodes()
}

// mayAct reports whether this process holds the lease, its validity outlasts the act margin,
// and the turn gap after the previous holder has passed. The caller holds mutex.
func (l *Elector) mayAct() bool {
	now := l.options.Now()
	return l.held && !l.ending() && !l.yielded() && now.Add(l.options.ActMargin).Before(l.validUntil) && !now.Before(l.actsFrom)
}

// ending reports whether this process gives the lease up or gave it up for good. The caller holds
// mutex.
func (l *Elector) ending() bool { return l.stopped || l.handingOver }

// ActsIn returns the time until this process may act if it holds the lease, that is until
// the turn gap after the previous holder has passed.
func (l *Elector) ActsIn() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.actsFrom.Sub(l.options.Now()), 0)
}

// TurnGap returns the minimum time between the acts of two nodes.
func (l *Elector) TurnGap() time.Duration { return l.options.TurnGap }

// Holder returns the newest record known, and whether it names a current holder.
func (l *Elector) Holder() (Record, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.latest, l.rowKnown && !l.latest.Released && l.latest.Holder != ""
}

// RowKnown reports whether the row has been read, from the store or from a peer.
func (l *Elector) RowKnown() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.rowKnown
}

func (l *Elector) readRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	row, err := l.table.Get(ctx, l.key)
	if err != nil {
		return err
	}
	l.applyRow(row)
	return nil
}

// applyRow records a row of the store. If its value cannot be read, the lease is free only once any holder
// that it may name no longer acts.
func (l *Elector) applyRow(row table.Row) {
	if !row.Revision.Exists() {
		l.applyRecord(Record{}, row.Revision)
		return
	}
	record, err := decodeRecord(row.Value)
	if err == nil && record.Holder == "" {
		err = fault.New(fault.CodeInvalid, "read lease", "no holder")
	}
	if err != nil {
		if l.isNewer(row.Revision) {
			l.log.Error(err, "lease row unreadable", "key", l.key, "revision", row.Revision)
		}
		record = unknownRecord(row.Revision)
	}
	l.applyRecord(record, row.Revision)
}

// applyRecord records the record of a row. It ignores rows that are no newer than the known
// one. The record of a restored row does not replace a later one, which is lost: its holder may still act.
func (l *Elector) applyRecord(record Record, revision table.Revision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.rowKnown && revision <= l.revision {
		return
	}
	if l.isRestored(record, revision) {
		l.applyRestored(record, revision)
		return
	}
	l.restoredAt = time.Time{}
	if record.Holder != l.latest.Holder || record.Token != l.latest.Token || record.Released != l.latest.Released {
		l.log.Info("lease seen", "holder", record.Holder, "token", record.Token, "released", record.Released, "revision", revision)
	}
	l.latest, l.revision, l.seenAt, l.rowKnown = record, revision, l.knownSince(record), true
	l.updateEarliestAct()
}

// updateEarliestAct computes from the newest record how long this process must wait before
// it may act. A holder acts no longer than the validity after its last renewal, which was
// sent before it was seen. The caller holds mutex.
func (l *Elector) updateEarliestAct() {
	switch {
	case l.restored():
		l.earliestAct = l.lostHoldersEnd().Add(l.options.TurnGap)
	case l.latest.Holder == "":
	case l.latest.Process == l.self.Process:
	case l.latest.Holder == l.self.Holder:
		// An earlier process of the same node: only the gap that it still had to wait out counts.
		l.earliestAct = l.seenAt.Add(time.Duration(l.latest.GapLeftMs) * time.Millisecond)
	case l.latest.Released:
		l.earliestAct = l.seenAt.Add(l.options.TurnGap - time.Duration(l.latest.QuietMs)*time.Millisecond)
	case l.holderYielded():
		l.earliestAct = l.observed.quietSince.Add(l.options.TurnGap)
	default:
		l.earliestAct = l.seenAt.Add(l.options.Validity + l.options.TurnGap)
	}
}

// unfitDelay leaves others the time to take a lease that has become free, even if each of them
// loses an answer of the store.
const unfitDelay = 2 * time.Second

// mayTakeUnfit reports whether others had the time to take the lease.
func (l *Elector) mayTakeUnfit() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.options.Now().Sub(l.seenAt) >= l.options.Validity+l.options.Interval+l.options.TakeoverDelay()+unfitDelay
}

// mayTake reports whether this process may try to take the lease. The write is conditional
// on the revision last seen, so it fails if the holder has renewed since.
func (l *Elector) mayTake() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ending() || !l.rowKnown {
		return false
	}
	if l.restored() {
		// A living holder writes its record again first.
		return l.options.Now().Sub(l.restoredAt) >= l.options.Validity+l.options.Interval+l.options.TakeoverDelay()
	}
	if l.latest.Released || l.latest.Holder == "" || l.latest.Holder == l.self.Holder {
		return true
	}
	if l.holderYielded() {
		return l.options.Now().Sub(l.observed.yieldedAt) >= yieldGrace+l.options.TakeoverDelay()
	}
	return l.options.Now().Sub(l.seenAt) >= l.options.Validity+l.options.Interval+l.options.TakeoverDelay()
}
