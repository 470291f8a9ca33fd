// Package quarantine is a node's part in keeping requests from runners that end under them. Each
// node counts the ends under its own requests and tells a few others, the holder of one
// service's control lease among them, which count those of all nodes. Whoever finds a request at
// several ends writes it to a table that all nodes follow, so that it outlives holders, restarts
// and losses of power, and reaches nodes that the holder does not.
package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/config"
	"lilacvane/internal/crash"
	"lilacvane/internal/poison"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// Options are what a quarantine needs of its node.
type Options struct {
	// Rows is the table of requests that are not run.
	Rows table.Table
	// Self returns the address at which other nodes reach this one.
	Self func() string
	// Tell tells the node at an address what the holder is told.
	Tell func(ctx context.Context, address string, report wire.PoisonReport) error
	// Nudge lets the demand of a service be reported to its holder at once.
	Nudge func(service string)
	// Holds reports whether this node holds the control lease of a service.
	Holds func(service string) bool
	// Wake lets what waits for a runner look again.
	Wake func()
	// Decide notes a decision about a subject for operators' questions.
	Decide func(subject, step, reason string)
	Log    logr.Logger
}

// Quarantine is a node's part. Its methods may be called concurrently.
type Quarantine struct {
	Options
	// marks are the requests in the table, and those about to be written.
	marks *poison.Marks
	// service is the one whose holder counts; empty where there is none, and each node
	// counts for itself.
	service atomic.Pointer[string]
	// counters are addresses of other nodes that count besides the holder, which may stand
	// still or be on its way out.
	counters atomic.Pointer[[]string]
	// watches is set while anything is marked or counted.
	watches atomic.Bool

	mutex sync.Mutex
	// tally counts what this node knows of: that of all nodes if it counts for them.
	tally *poison.Tally
	// untold is what the holder was not told yet, told the token of the one that was told
	// all before.
	untold wire.PoisonReport
	told   uint64
	// writes are the rows to be written, nil for those to be removed; written are those
	// in the table.
	writes  map[poison.Identity][]string
	written map[poison.Identity]bool
	// due is signalled when there is something to write.
	due chan struct{}

	// calls are those under way to other nodes, which end with ctx.
	calls sync.WaitGroup
	ctx   context.Context
	end   context.CancelFunc
}

// New returns the quarantine of a node that knows of no ends.
func New(options Options) *Quarantine {
	q := &Quarantine{
		Options: options, marks: poison.NewMarks(), tally: poison.NewTally(),
		writes: make(map[poison.Identity][]string), written: make(map[poison.Identity]bool), due: make(chan struct{}, 1),
	}
	q.ctx, q.end = context.WithCancel(context.Background())
	none := ""
	q.service.Store(&none)
	q.counters.Store(&[]string{})
	return q
}

// counterCount is how many nodes count besides the holder: one of them is there when
// another one is lost together with the holder.
const counterCount = 3

// SetCounters tells the nodes that count besides the holder, alike at all nodes.
func (q *Quarantine) SetCounters(addresses []string) {
	if len(addresses) > 0 {
		counters := slices.Clone(addresses[:min(counterCount, len(addresses))])
		q.counters.Store(&counters)
	}
}

// tellCounters tells those that count besides the holder. What one of them does not get, the
// holder does, or the next one. mutex is held.
func (q *Quarantine) tellCounters(report wire.PoisonReport) {
	if q.ctx.Err() != nil {
		return
	}
	self := q.Self()
	for _, address := range *q.counters.Load() {
		if address == self {
			continue
		}
		q.calls.Go(func() {
			ctx, cancel := context.WithTimeout(q.ctx, tellTimeout)
			defer cancel()
			if err := q.Tell(ctx, address, report); err != nil {
				q.Log.V(1).Info("ends of runners not told", "peer", address, "error", err.Error())
			}
		})
	}
}

// close ends the calls to other nodes and waits for them.
func (q *Quarantine) close() {
	q.mutex.Lock()
	q.end()
	q.mutex.Unlock()
	q.calls.Wait()
}

// tellTimeout bounds the telling: a node in reach answers within some ms, in another region
// within some ten.
const tellTimeout = 500 * time.Millisecond

// Follow takes over a configuration: it names the service whose holder counts.
func (q *Quarantine) Follow(configuration *config.Configuration) {
	first := configuration.FirstEngines()
	q.service.Store(&first)
}

// Idle reports that no runner is known to have ended under any request.
func (q *Quarantine) Idle() bool { return !q.watches.Load() }

// Refused returns the mark of a request that is not to be run.
func (q *Quarantine) Refused(request poison.Identity) (poison.Mark, bool) {
	mark, known := q.marks.Find(request)
	return mark, known && mark.Refused() && !mark.Expired(time.Now())
}

// CountRefused is how many requests are not run.
func (q *Quarantine) CountRefused() int {
	count := 0
	for _, mark := range q.marks.All() {
		if mark.Refused() {
			count++
		}
	}
	return count
}

// Ran notes that a try of a request ended well: it does not end its runners.
func (q *Quarantine) Ran(request poison.Identity) {
	_, marked := q.marks.Find(request)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.tally.Clear(request) && !marked {
		return
	}
	q.untold.Cleared = newest(append(q.untold.Cleared, request))
	q.tellCounters(wire.PoisonReport{Cleared: []poison.Identity{request}})
	if marked {
		q.Log.Info("request no longer suspected of ending runners", "content", request.Short(), "reason", "a try of it ended well")
		q.lift(request)
	}
	q.Nudge(*q.service.Load())
}

// Crashed takes a runner that ended under requests of this node.
func (q *Quarantine) Crashed(c crash.Crash) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	ended := wire.CrashReport{Runner: c.Runner, Requests: c.Requests}
	q.untold.Crashes = newest(append(q.untold.Crashes, ended))
	q.add(c.Runner, c.Requests)
	q.tellCounters(wire.PoisonReport{Crashes: []wire.CrashReport{ended}})
	q.Nudge(*q.service.Load())
}

// Count takes the report of a node.
func (q *Quarantine) Count(report wire.PoisonReport) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, request := range report.Cleared {
		q.tally.Clear(request)
	}
	for _, c := range report.Crashes {
		q.add(c.Runner, c.Requests)
	}
}

// add counts a runner that ended, with what is known of the requests from the table, and
// marks those that are suspected of it. mutex is held.
func (q *Quarantine) add(runner string, requests []poison.Identity) {
	now := time.Now()
	q.watches.Store(true)
	for _, request := range requests {
		if mark, known := q.marks.Find(request); known {
			q.tally.Learn(mark.Finding, now)
		}
	}
	q.find(q.tally.Crashed(runner, requests, now))
}

// find puts findings into force and lets them be written. mutex is held.
func (q *Quarantine) find(findings []poison.Finding) {
	if len(findings) == 0 {
		return
	}
	q.take(findings)
	for _, finding := range findings {
		q.writes[finding.Request] = finding.Runners
	}
	q.signal()
}

// take puts findings into force. What waits for a runner looks again. mutex is held.
func (q *Quarantine) take(findings []poison.Finding) {
	q.watches.Store(true)
	wake := false
	for _, mark := range q.marks.Put(findings, time.Now()) {
		if !mark.Refused() {
			q.Log.Info("request suspected of ending runners", "content", mark.Request.Short(), "runners", mark.Runners)
			continue
		}
		wake = true
		q.Log.Info("request refused as runners end under it", "content", mark.Request.Short(), "runners", mark.Runners)
		q.Decide("content/"+mark.Request.Short(), "refuse request", mark.Finding.String())
	}
	if wake {
		q.Wake()
	}
}

// lift forgets a request everywhere. mutex is held.
func (q *Quarantine) lift(request poison.Identity) {
	q.forget(request)
	q.writes[request] = nil
	q.signal()
}

// forget forgets a request at this node. mutex is held.
func (q *Quarantine) forget(request poison.Identity) {
	q.marks.Drop(request)
	q.tally.Clear(request)
	delete(q.writes, request)
}

func (q *Quarantine) signal() {
	select {
	case q.due <- struct{}{}:
	default:
	}
}

// Of returns the reports that travel with the demand of a service.
func (q *Quarantine) Of(service string) Reports {
	return Reports{quarantine: q, service: service}
}

// Reports are a node's reports to the holder of one service.
type Reports struct {
	quarantine *Quarantine
	service    string
}

// Report returns what to tell the holder; nil for nothing, and when another service's
// holder counts. A holder that was not told before is told all that is known.
func (s Reports) Report(token uint64) *wire.PoisonReport {
	q := s.quarantine
	if *q.service.Load() != s.service || q.Idle() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report := q.untold
	q.untold = wire.PoisonReport{}
	if token != q.told {
		q.told = token
		report.Crashes = allCrashes(q.tally)
	}
	if len(report.Crashes) == 0 && len(report.Cleared) == 0 {
		return nil
	}
	return &report
}

// Undelivered takes back a report that got no answer.
func (s Reports) Undelivered(report *wire.PoisonReport) {
	q := s.quarantine
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.untold.Crashes = newest(append(report.Crashes, q.untold.Crashes...))
	q.untold.Cleared = newest(append(report.Cleared, q.untold.Cleared...))
}

// mostUntold bounds what is kept for a holder that is not there: the next one is told all that
// is known.
const mostUntold = 1024

// newest keeps the newest mostUntold of a list.
func newest[T any](list []T) []T { return list[max(len(list)-mostUntold, 0):] }

func allCrashes(tally *poison.Tally) []wire.CrashReport {
	crashes := tally.Crashes()
	reports := make([]wire.CrashReport, 0, len(crashes))
	for _, runner := range slices.Sorted(maps.Keys(crashes)) {
		reports = append(reports, wire.CrashReport{Runner: runner, Requests: crashes[runner]})
	}
	return reports
}
