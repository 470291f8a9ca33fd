// Package quarantine implements a node's part in protecting runners from requests that crash them.
// Each node records the crashes of runners during its own requests and reports them to a few other
// nodes, among them the holder of one service's control lease. These aggregate the reports of all
// nodes. Whichever node finds a request involved in several crashes writes it to a table that all
// nodes follow, so that the entry outlives holders, restarts and power failures, and reaches nodes
// that the holder does not.
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

// Options holds a quarantine's dependencies.
type Options struct {
	// Rows is the table of quarantined requests.
	Rows table.Table
	// Self returns the address at which other nodes reach this one.
	Self func() string
	// SendReport sends a report, which the holder also gets, to the node at an address.
	SendReport func(ctx context.Context, address string, report wire.PoisonReport) error
	// ReportNow causes the demand for a service, and the reports sent along with it, to be sent to
	// the service's holder immediately.
	ReportNow func(service string)
	// Holds reports whether this node holds the control lease of a service.
	Holds func(service string) bool
	// Wake makes requests that wait for a runner check again.
	Wake func()
	// RecordDecision records a decision about a subject for operators to query.
	RecordDecision func(subject, step, reason string)
	// CountUndelivered counts reports that a node did not accept.
	CountUndelivered func()
	Log              logr.Logger
}

// Source is how a node learned of a crash or of a refused request.
type Source string

// The sources.
const (
	// SourceCount is this node's own count of the crashes reported to it.
	SourceCount Source = "count"
	// SourceTable is a row of the table.
	SourceTable Source = "table"
)

// Quarantine tracks suspected and refused requests at one node. Its methods may be called
// concurrently.
type Quarantine struct {
	Options
	// marks are the requests in the table, and those about to be written to it.
	marks *poison.Marks
	// service is the service whose holder aggregates; empty if there is none, in which case each
	// node only counts for itself.
	service atomic.Pointer[string]
	// aggregators are the addresses of other nodes that aggregate in addition to the holder,
	// which may be stalled or about to leave.
	aggregators atomic.Pointer[[]string]
	// tracking is set while any request is marked or counted.
	tracking atomic.Bool

	mutex sync.Mutex
	// tally counts the crashes known to this node: those of all nodes if it aggregates.
	tally *poison.Tally
	// unreported is what was not reported to the holder yet. reportedToken is the lease token of
	// the holder that got a full report.
	unreported    wire.PoisonReport
	reportedToken uint64
	// pendingWrites are the rows to write, with nil for those to remove. written are the rows in
	// the table.
	pendingWrites map[poison.Identity][]string
	written       map[poison.Identity]bool
	// due is signalled when there is something to write.
	due chan struct{}

	// calls are the calls to other nodes in progress. They end with ctx.
	calls  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a quarantine without any crashes.
func New(options Options) *Quarantine {
	q := &Quarantine{
		Options: options, marks: poison.NewMarks(), tally: poison.NewTally(),
		pendingWrites: make(map[poison.Identity][]string), written: make(map[poison.Identity]bool), due: make(chan struct{}, 1),
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	none := ""
	q.service.Store(&none)
	q.aggregators.Store(&[]string{})
	return q
}

// maxAggregators is how many nodes aggregate in addition to the holder. One of them is still
// there if another one is lost together with the holder.
const maxAggregators = 3

// SetAggregators sets the nodes that aggregate in addition to the holder. All nodes set the same
// ones.
func (q *Quarantine) SetAggregators(addresses []string) {
	if len(addresses) > 0 {
		aggregators := slices.Clone(addresses[:min(maxAggregators, len(addresses))])
		q.aggregators.Store(&aggregators)
	}
}

// reportToAggregators sends a report to the nodes that aggregate in addition to the holder. A
// report that one of them misses reaches the holder or another one. mutex is held.
func (q *Quarantine) reportToAggregators(report wire.PoisonReport) {
	if q.ctx.Err() != nil {
		return
	}
	self := q.Self()
	for _, address := range *q.aggregators.Load() {
		if address == self {
			continue
		}
		q.calls.Go(func() {
			ctx, cancel := context.WithTimeout(q.ctx, reportTimeout)
			defer cancel()
			if err := q.SendReport(ctx, address, report); err != nil {
				q.CountUndelivered()
				q.Log.Info("crash report not delivered", "peer", address, "crashes", len(report.Crashes), "cleared", len(report.Cleared), "error", err.Error())
			}
		})
	}
}

// close cancels the calls to other nodes and waits for them.
func (q *Quarantine) close() {
	q.mutex.Lock()
	q.cancel()
	q.mutex.Unlock()
	q.calls.Wait()
}

// reportTimeout bounds the sending of a report: a reachable node answers within a few
// milliseconds, one in another region within some tens of milliseconds.
const reportTimeout = 500 * time.Millisecond

// Follow applies a configuration, which determines the service whose holder aggregates.
func (q *Quarantine) Follow(configuration *config.Configuration) {
	first := configuration.FirstEngineService()
	q.service.Store(&first)
}

// Idle reports whether no crash is known for any request.
func (q *Quarantine) Idle() bool { return !q.tracking.Load() }

// Refused returns the mark of a request that must not run.
func (q *Quarantine) Refused(request poison.Identity) (poison.Mark, bool) {
	mark, known := q.marks.Find(request)
	return mark, known && mark.Refused() && !mark.Expired(time.Now())
}

// CountRefused returns the number of refused requests.
func (q *Quarantine) CountRefused() int {
	count := 0
	for _, mark := range q.marks.All() {
		if mark.Refused() {
			count++
		}
	}
	return count
}

// Succeeded records that an attempt of a request succeeded, which shows that it does not crash
// runners. It reports whether crashes under the request were known.
func (q *Quarantine) Succeeded(request poison.Identity) (cleared bool) {
	_, marked := q.marks.Find(request)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.tally.Clear(request) && !marked {
		return false
	}
	q.unreported.Cleared = newest(append(q.unreported.Cleared, request))
	q.reportToAggregators(wire.PoisonReport{Cleared: []poison.Identity{request}})
	if marked {
		q.Log.Info("request no longer suspected of ending runners", "content", request.Short(), "reason", "an attempt of it succeeded")
		q.lift(request)
	}
	q.ReportNow(*q.service.Load())
	return true
}

// Crashed records a runner that crashed while running requests of this node.
func (q *Quarantine) Crashed(c crash.Crash) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report := wire.CrashReport{Runner: c.Runner, Requests: c.Requests}
	q.unreported.Crashes = newest(append(q.unreported.Crashes, report))
	q.add(c.Runner, c.Requests)
	q.reportToAggregators(wire.PoisonReport{Crashes: []wire.CrashReport{report}})
	q.ReportNow(*q.service.Load())
}

// AddReport adds the report of another node.
func (q *Quarantine) AddReport(report wire.PoisonReport) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, request := range report.Cleared {
		q.tally.Clear(request)
	}
	for _, c := range report.Crashes {
		q.add(c.Runner, c.Requests)
	}
}

// add counts a crash, together with what the table says about the requests, and marks those that
// are suspected. mutex is held.
func (q *Quarantine) add(runner string, requests []poison.Identity) {
	now := time.Now()
	q.tracking.Store(true)
	for _, request := range requests {
		if mark, known := q.marks.Find(request); known {
			q.tally.Merge(mark.Finding, now)
		}
	}
	q.publish(q.tally.RecordCrash(runner, requests, now))
}

// publish applies findings and queues them to be written. mutex is held.
func (q *Quarantine) publish(findings []poison.Finding) {
	if len(findings) == 0 {
		return
	}
	q.apply(findings, SourceCount)
	for _, finding := range findings {
		q.pendingWrites[finding.Request] = finding.Runners
	}
	q.signal()
}

// apply marks the requests of findings. If one of them becomes refused, requests that wait for a
// runner check again. mutex is held.
func (q *Quarantine) apply(findings []poison.Finding, source Source) {
	q.tracking.Store(true)
	wake := false
	for _, mark := range q.marks.Put(findings, time.Now()) {
		if !mark.Refused() {
			q.Log.Info("request suspected of ending runners", "content", mark.Request.Short(), "runners", mark.Runners, "source", source)
			continue
		}
		wake = true
		q.Log.Info("request refused as runners end under it", "content", mark.Request.Short(), "runners", mark.Runners, "source", source)
		q.RecordDecision("content/"+mark.Request.Short(), "refuse request", mark.Finding.String())
	}
	if wake {
		q.Wake()
	}
}

// lift removes a request at all nodes. mutex is held.
func (q *Quarantine) lift(request poison.Identity) {
	q.forget(request)
	q.pendingWrites[request] = nil
	q.signal()
}

// forget removes a request at this node. mutex is held.
func (q *Quarantine) forget(request poison.Identity) {
	q.marks.Drop(request)
	q.tally.Clear(request)
	delete(q.pendingWrites, request)
}

// signal wakes Run to write pending rows.
func (q *Quarantine) signal() {
	select {
	case q.due <- struct{}{}:
	default:
	}
}

// ReportsFor returns the reports that are sent along with the demand for a service.
func (q *Quarantine) ReportsFor(service string) Reports {
	return Reports{quarantine: q, service: service}
}

// Reports produces a node's reports to the holder of one service.
type Reports struct {
	quarantine *Quarantine
	service    string
}

// Report returns the report to send to the holder; nil if there is nothing to report or if
// another service's holder aggregates. A holder whose lease token shows that it has not been sent a
// full report yet gets all that is known.
func (s Reports) Report(token uint64) *wire.PoisonReport {
	q := s.quarantine
	if *q.service.Load() != s.service || q.Idle() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	report := q.unreported
	q.unreported = wire.PoisonReport{}
	if token != q.reportedToken {
		q.reportedToken = token
		report.Crashes = allCrashes(q.tally)
	}
	if len(report.Crashes) == 0 && len(report.Cleared) == 0 {
		return nil
	}
	return &report
}

// Undelivered requeues a report that was not answered.
func (s Reports) Undelivered(report *wire.PoisonReport) {
	q := s.quarantine
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.unreported.Crashes = newest(append(report.Crashes, q.unreported.Crashes...))
	q.unreported.Cleared = newest(append(report.Cleared, q.unreported.Cleared...))
}

// maxUnreported bounds what is kept while there is no holder: the next holder gets a full report
// anyway.
const maxUnreported = 1024

// newest returns the last maxUnreported elements of a list.
func newest[T any](list []T) []T { return list[max(len(list)-maxUnreported, 0):] }

// allCrashes returns all crashes in a tally, ordered by runner.
func allCrashes(tally *poison.Tally) []wire.CrashReport {
	crashes := tally.Crashes()
	reports := make([]wire.CrashReport, 0, len(crashes))
	for _, runner := range slices.Sorted(maps.Keys(crashes)) {
		reports = append(reports, wire.CrashReport{Runner: runner, Requests: crashes[runner]})
	}
	return reports
}
