// Package lease lets one node at a time hold a named lease, kept as one row of
// the platform's table. A holder may act while its lease is valid by its own
// steady clock; a new holder acts only when the turn gap has passed since the
// last moment at which the old one can have acted.
package lease

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/clock"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// Record is the row's value.
type Record struct {
	// Holder is the node that holds the lease.
	Holder string `json:"holder"`
	// Address is where the holder's peers reach it (ip:port).
	Address string `json:"address"`
	// Process tells two processes of one node apart.
	Process string `json:"process"`
	// Token grows with every change of the holding process.
	Token uint64 `json:"token"`
	// Renewal grows with every renewal.
	Renewal uint64 `json:"renewal"`
	// Settled is set once the holder waited out the turn gap after the one
	// before it.
	Settled bool `json:"settled,omitempty"`
	// Released is set when the holder gave the lease back: it acts no more.
	Released bool `json:"released,omitempty"`
	// QuietMs is how long nobody had acted when the holder released; below zero
	// while an earlier holder may still have been acting.
	QuietMs int64 `json:"quietMs,omitempty"`
	// GapLeftMs is how long the holder still waits out the turn gap of the one before
	// it; zero once it is settled.
	GapLeftMs int64 `json:"gapLeftMs,omitempty"`
	// Nodes is how many nodes contend for the lease, as far as the holder knows: one that
	// starts learns it here.
	Nodes int `json:"nodes,omitempty"`
}

// Options are the times of a lease.
type Options struct {
	// Validity is how long the holder may act after it sent a renewal.
	Validity time.Duration
	// Interval is the time between renewals, and between looks of the others.
	Interval time.Duration
	// TurnGap must lie between the last act of one node and the first of
	// another.
	TurnGap time.Duration
	// ActMargin is how long before the end of its validity a holder stops to
	// act: the time that one act may take.
	ActMargin time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// Reluctance is how much later than others this node takes a lease that is
	// free, so that nodes with more to spare come first; not set for no later.
	Reluctance func() time.Duration
	// Heard reports whether the holder was heard of by other means just now, so
	// that the others need not look at the row; they always look when it is not set.
	Heard func() bool
	// LookFirst is set when this process looks at the row itself once, whatever Heard and
	// Ask say: its node may be the holder that was lost, and goes on at once.
	LookFirst bool
	// LookAtOnce is set when this process looks at the row once as soon as it runs, to know
	// who holds the lease.
	LookAtOnce bool
	// Ask reads the row from another node in place of the store; not set for none. ok is
	// false when this node is to look itself. The row may be old: it is taken over like
	// an old answer of the store, and never taken by who only asks.
	Ask func(ctx context.Context) (value []byte, revision uint64, ok bool)
	// Nodes is how many nodes contend for the lease, as far as is known; not set for
	// few. The more there are, the less often each looks at a row whose store does
	// not answer.
	Nodes func() int
	// Regained is called when the store answers again after it failed a call; not set for
	// nobody.
	Regained func()
	// Now is the steady clock; clock.Now when it is not set: a holder that was suspended must
	// not take its lease for valid by a clock that stood still.
	Now func() time.Time
}

// Lessor takes part in holding one lease. Its methods may be called
// concurrently.
type Lessor struct {
	table   table.Table
	key     string
	self    Record
	options Options
	log     logr.Logger

	mutex sync.Mutex
	// seen is the newest record known, seenAt when its revision was first seen.
	seen     Record
	revision uint64
	seenAt   time.Time
	read     bool
	// othersUntil is until when an earlier holder's acts forbid those of this
	// process.
	othersUntil time.Time
	// held is set while this process is the holder by the newest record.
	held bool
	// confirmed is the newest renewal of this process that the store confirmed.
	confirmed uint64
	// yieldedToken is the lease under which this process gave its word not to act
	// any more.
	yieldedToken uint64
	heard        heard
	validUntil   time.Time
	actsFrom     time.Time
	lastAct      time.Time
	stopped      bool
	lost         bool
	// looked is set once this process looked at the row itself.
	looked bool
	// retry is set while a renewal was not confirmed.
	retry bool
	// wake ends the pause between two steps as a holder yielded, again as the store answers.
	wake  chan struct{}
	again chan struct{}
}

// New returns a lessor for a node. process tells this process from an earlier
// one of the same node.
func New(rows table.Table, key, node, address, process string, options Options, log logr.Logger) *Lessor {
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Reluctance == nil {
		options.Reluctance = func() time.Duration { return 0 }
	}
	return &Lessor{
		table: rows, key: key, options: options, log: log.WithValues("lease", key),
		self: Record{Holder: node, Address: address, Process: process},
		// An earlier process of this node may have acted until now.
		lastAct: options.Now(),
		wake:    make(chan struct{}, 1),
		again:   make(chan struct{}, 1),
	}
}

// Holds reports whether this process is the holder by the newest record.
func (l *Lessor) Holds() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.held
}

// Act returns the lease's token if the holder may act now, and notes the act.
// It must be called right before each act.
func (l *Lessor) Act() (token uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.mayAct() {
		return 0, false
	}
	l.lastAct = l.options.Now()
	return l.seen.Token, true
}

// Valid reports whether this process holds the lease by a renewal that still counts.
func (l *Lessor) Valid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.held && !l.stopped && !l.yielded() && l.options.Now().Before(l.validUntil)
}

// Acting reports whether the holder may act now.
func (l *Lessor) Acting() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mayAct()
}

// quiet is how long nobody can have acted: since this process's last act, and since
// the last moment at which the holder before it can have acted, which may lie ahead.
// mutex is held.
func (l *Lessor) quiet() time.Duration {
	last := l.lastAct
	if others := l.actsFrom.Add(-l.options.TurnGap); !l.actsFrom.IsZero() && others.After(last) {
		last = others
	}
	return l.options.Now().Sub(last)
}

// wholeMs rounds down to milliseconds, below zero too.
func wholeMs(d time.Duration) int64 { return int64(math.Floor(float64(d) / float64(time.Millisecond))) }

// settle says in a record whether the holder waits out a gap, and for how long. It
// is called before the record is sent.
func (l *Lessor) settle(record *Record, actsFrom time.Time) {
	wait := actsFrom.Sub(l.options.Now())
	record.Settled = wait <= 0
	record.GapLeftMs = max(-wholeMs(-wait), 0)
}

// nodes is how many nodes contend for the lease; zero when that is not known.
func (l *Lessor) nodes() int {
	if l.options.Nodes == nil {
		return 0
	}
	return l.options.Nodes()
}

func (l *Lessor) mayAct() bool {
	now := l.options.Now()
	return l.held && !l.stopped && !l.yielded() && now.Add(l.options.ActMargin).Before(l.validUntil) && !now.Before(l.actsFrom)
}

// ActsIn is the time until this process may act if it holds the lease: until the
// turn gap after the holder before it has passed.
func (l *Lessor) ActsIn() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.actsFrom.Sub(l.options.Now()), 0)
}

// TurnGap is the least time between the acts of two nodes.
func (l *Lessor) TurnGap() time.Duration { return l.options.TurnGap }

// Holder returns the newest record known.
func (l *Lessor) Holder() (Record, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.seen, l.read && !l.seen.Released && l.seen.Holder != ""
}

// Looked reports whether the row was read, by this process or from what others told.
func (l *Lessor) Looked() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.read
}

func (l *Lessor) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	row, err := l.table.Get(ctx, l.key)
	if err != nil {
		return err
	}
	return l.saw(row.Value, row.Revision)
}

// saw takes over a record that was read. An older one than known is passed over.
func (l *Lessor) saw(value []byte, revision uint64) error {
	var record Record
	if revision != 0 {
		if err := json.Unmarshal(value, &record); err != nil {
			return fault.New(fault.CodeInvalid, "read lease", "%v", err)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.read && revision <= l.revision {
		return nil
	}
	if record.Holder != l.seen.Holder || record.Token != l.seen.Token || record.Released != l.seen.Released {
		l.log.Info("lease seen", "holder", record.Holder, "token", record.Token, "released", record.Released, "revision", revision)
	}
	l.seen, l.revision, l.seenAt, l.read = record, revision, l.seenSince(record), true
	l.noteOthers()
	return nil
}

// noteOthers derives from the record just seen until when the acts of others
// forbid those of this process. The holder acts no longer than its validity
// after its last renewal, which was sent before it was seen. mutex is held.
func (l *Lessor) noteOthers() {
	switch {
	case l.seen.Holder == "":
	case l.seen.Process == l.self.Process:
	case l.seen.Holder == l.self.Holder:
		// An earlier process of this node: only those before it count.
		l.othersUntil = l.seenAt.Add(time.Duration(l.seen.GapLeftMs) * time.Millisecond)
	case l.seen.Released:
		l.othersUntil = l.seenAt.Add(l.options.TurnGap - time.Duration(l.seen.QuietMs)*time.Millisecond)
	case l.heardYield():
		l.othersUntil = l.heard.quietSince.Add(l.options.TurnGap)
	default:
		l.othersUntil = l.seenAt.Add(l.options.Validity + l.options.TurnGap)
	}
}

// mayTake decides whether the lease may be taken. The revision that was last
// seen is the condition of the write, so a renewal that was not seen makes the
// write fail.
func (l *Lessor) mayTake() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopped || !l.read {
		return false
	}
	if l.seen.Released || l.seen.Holder == "" || l.seen.Holder == l.self.Holder {
		return true
	}
	if l.heardYield() {
		return l.options.Now().Sub(l.heard.yieldedAt) >= yieldPatience+l.options.Reluctance()
	}
	return l.options.Now().Sub(l.seenAt) >= l.options.Validity+l.options.Interval+l.options.Reluctance()
}
