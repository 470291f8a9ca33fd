// Package quarantine implements a node's part in protecting runners from requests that crash them.
// Each node records the crashes of runners during its own requests and reports them to a few other
// nodes, among them the holder of one service's control lease. These aggregate the reports of all
// nodes. A node that learns that a request is refused tells its neighbors, so that all nodes know
// within a few calls, without the store and the holder. Whichever node finds a request involved in
// several crashes also writes it to a table that all nodes follow, so that the entry outlives
// holders, restarts and power failures.
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
	"lilacvane/internal/feed"
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
	// SendReport sends a report to the node at an address.
	SendReport func(ctx context.Context, address string, report wire.PoisonReport) (wire.PoisonAnswer, error)
	// AskTrial asks the node at an address for a trial.
	AskTrial func(ctx context.Context, address string, request wire.TrialRequest) (wire.TrialAnswer, error)
	// ReportNow causes the demand for a service, and the reports sent along with it, to be sent to
	// the service's holder immediately.
	ReportNow func(service string)
	// Holds reports whether this node holds the control lease of a service.
	Holds func(service string) bool
	// CountRunners returns how many runners a service has.
	CountRunners func(service string) int
	// Wake makes requests that wait for a runner check again.
	Wake func()
	// RecordDecision records a decision about a subject for operators to query.
	RecordDecision func(subject, step, reason string)
	// CountUndelivered counts reports that a node did not accept.
	CountUndelivered func()
	// Unreadable is called with each row of the table that cannot be read.
	Unreadable func(feed.Row, error)
	Log        logr.Logger
}

// Source is how a node learned of a crash or of a refused request.
type Source string

// The sources.
const (
	// SourceCount is this node's own count of the crashes reported to it.
	SourceCount Source = "count"
	// SourceTable is a row of the table.
	SourceTable Source = "table"
	// SourcePeer is another node that refuses the request.
	SourcePeer Source = "peer"
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
	// nodes are the nodes to tell.
	nodes atomic.Pointer[nodes]
	// tracking is set while any request is marked or counted.
	tracking atomic.Bool

	mutex sync.Mutex
	// tally counts the crashes known to this node: those of all nodes if it aggregates.
	tally *poison.Tally
	// succeeded is when contents and parts last succeeded, here or at a node that told of it.
	succeeded *poison.Successes
	// outages are the recent ends of runners, whichever requests ran there.
	outages *poison.Outages
	// disputed are refusals of other nodes that an outage explains, until the nodes are told.
	disputed map[poison.Identity]poison.Finding
	// outboxes are the neighbors to which reports are under way, by address.
	outboxes map[string]*outbox
	// unreported is what was not reported to the holder yet. reportedToken is the lease token of
	// the holder that got a full report.
	unreported    wire.PoisonReport
	reportedToken uint64
	// witnessed are the recent crashes under this node's own requests.
	witnessed []witnessedCrash
	// pendingWrites are the rows to write or to delete. written are the rows in the table.
	pendingWrites map[poison.Identity]rowChange
	written       map[poison.Identity]writtenRow
	// due is signalled when there is something to write.
	due chan struct{}

	successes successes
	trials    trials

	// calls are the calls to other nodes in progress. They end with ctx.
	calls  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a quarantine without any crashes.
func New(options Options) *Quarantine {
	q := &Quarantine{
		Options: options, marks: poison.NewMarks(), tally: poison.NewTally(), succeeded: poison.NewSuccesses(), outages: poison.NewOutages(),
		outboxes: make(map[string]*outbox), disputed: make(map[poison.Identity]poison.Finding),
		pendingWrites: make(map[poison.Identity]rowChange), written: make(map[poison.Identity]writtenRow), due: make(chan struct{}, 1),
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	none := ""
	q.service.Store(&none)
	q.nodes.Store(&nodes{})
	return q
}

// close cancels the calls to other nodes and waits for them.
func (q *Quarantine) close() {
	q.mutex.Lock()
	q.cancel()
	q.mutex.Unlock()
	q.calls.Wait()
}

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

// Check decides whether a request with a content and the parts of its prompt may be sent to a runner.
func (q *Quarantine) Check(content poison.Identity, parts []poison.Identity) poison.Decision {
	return q.marks.Check(append([]poison.Identity{content}, parts...), time.Now())
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
	mark, marked := q.marks.Find(request)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.succeeded.Record(request, time.Now())
	if !q.tally.Contains(request) && !marked {
		return false
	}
	struck := wire.CrashesStruck{Request: request, Runners: q.tally.Merge(mark.Finding.For(request), time.Now()).All()}
	q.unreported.Struck = newest(append(q.unreported.Struck, struck))
	if marked {
		q.Log.Info("request no longer suspected of ending runners", "content", request.Short(), "reason", "an attempt of it succeeded", "runners", struck.Runners)
		q.pendingWrites[request] = deleteRow
		q.signal()
		q.tellStruck(struck)
	}
	q.strike(struck)
	q.tellAggregators(wire.PoisonReport{Struck: []wire.CrashesStruck{struck}})
	q.ReportNow(*q.service.Load())
	return true
}

// Crashed records a runner that crashed while running requests of this node.
func (q *Quarantine) Crashed(c crash.Crash) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	report := wire.CrashReport{Runner: c.Runner, Requests: c.Requests, Contents: wireRuns(c.Contents, now), Parts: wireRuns(c.Parts, now), At: now}
	q.witnessed = newest(append(q.witnessed, witnessedCrash{CrashReport: report, at: now}))
	q.unreported.Crashes = newest(append(q.unreported.Crashes, report))
	q.add(c)
	q.tellAggregators(wire.PoisonReport{Crashes: []wire.CrashReport{report}})
	q.ReportNow(*q.service.Load())
}

// AddReport adds the report of another node.
func (q *Quarantine) AddReport(report wire.PoisonReport) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.addReport(report)
}

// addReport is AddReport for a caller that holds mutex.
func (q *Quarantine) addReport(report wire.PoisonReport) {
	for _, struck := range report.Struck {
		q.learnStruck(struck)
	}
	if len(report.Struck) == 0 {
		for _, request := range report.Cleared {
			q.tally.Strike(request, q.tally.Runners(request), time.Now())
		}
	}
	now := time.Now()
	for _, c := range report.Crashes {
		q.add(crash.Crash{Runner: c.Runner, Requests: c.Requests, Contents: parseRuns(c.Contents, now), Parts: parseRuns(c.Parts, now)})
	}
	q.learnMarks(report.Marks)
}

// add counts a crash, together with what the table says about the requests and the parts of their
// prompts, and marks those that are suspected. mutex is held.
func (q *Quarantine) add(c crash.Crash) {
	now := time.Now()
	q.tracking.Store(true)
	for _, request := range c.Requests {
		q.mergeMark(request, now)
	}
	for _, run := range c.Parts {
		q.mergeMark(run.Request, now)
	}
	untimed := slices.DeleteFunc(slices.Clone(c.Requests), func(request poison.Identity) bool {
		return slices.ContainsFunc(c.Contents, func(run poison.Run) bool { return run.Request == request })
	})
	runs := slices.Concat(c.Contents, c.Parts)
	q.outages.Record(c.Runner, runs, now)
	found := q.tally.RecordCrash(c.Runner, untimed, now)
	q.publish(append(found, q.tally.RecordRuns(c.Runner, runs, now)...))
}

// mergeMark adds what a mark says to the tally. mutex is held.
func (q *Quarantine) mergeMark(request poison.Identity, now time.Time) {
	if mark, known := q.marks.Find(request); known {
		q.tally.Merge(mark.Finding, now)
	}
}

// publish applies findings and queues those that count to be written. mutex is held.
func (q *Quarantine) publish(findings []poison.Finding) {
	findings = q.countable(findings)
	if len(findings) == 0 {
		return
	}
	q.apply(findings, SourceCount)
	q.queue(findings)
}

// queue queues the marks of some requests to be written. mutex is held.
func (q *Quarantine) queue(findings []poison.Finding) {
	for _, finding := range findings {
		q.pendingWrites[finding.Request] = putRow
	}
	q.signal()
}

// newRecord returns the row of a finding.
func newRecord(finding poison.Finding) wire.PoisonRecord {
	now := time.Now()
	return wire.PoisonRecord{Runners: finding.Runners, Beside: finding.Beside, Runs: wireRuns(finding.Runs, now), BesideRuns: wireRuns(finding.BesideRuns, now), Controlled: finding.Controlled}
}

// apply marks the requests of findings, without crashes that no longer count. The neighbors are told of
// those that become suspected, so that an attempt that succeeds anywhere clears them, or refused. If one
// becomes refused, requests that wait for a runner check again. mutex is held.
func (q *Quarantine) apply(findings []poison.Finding, source Source) {
	q.tracking.Store(true)
	updated := q.marks.Put(q.countable(findings), time.Now())
	if len(updated) > 0 {
		updated = append(updated, q.marks.Put(q.successes.control(q.marks, time.Now()), time.Now())...)
	}
	refused := false
	for _, mark := range updated {
		log := q.Log.WithValues("content", mark.Request.Short(), "part", mark.Request.IsPart(), "controlled", mark.Controlled, "runners", mark.Runners, "cleared", mark.Cleared, "endedMsAgo", endAges(mark.Finding, time.Now()), "beside", len(mark.Beside), "source", source)
		if !mark.Denies() {
			log.Info("request suspected of ending runners")
			continue
		}
		refused = true
		log.Info("request refused as runners end under it")
		q.RecordDecision("content/"+mark.Request.Short(), "refuse request", mark.Finding.String())
	}
	if refused {
		q.Wake()
	}
	if len(updated) > 0 {
		q.tellMarks(updated)
	}
}

// endAges returns how long ago the runners of a finding ended, in milliseconds and in their order; empty if
// that is not known.
func endAges(finding poison.Finding, now time.Time) []int64 {
	ages := make([]int64, 0, len(finding.Runs))
	for _, run := range finding.Runs {
		ages = append(ages, now.Sub(run.Ended).Milliseconds())
	}
	return ages
}

// countable returns findings without the crashes that no longer count, those before a success that is known
// here and those that an outage explains, if enough are left. mutex is held.
func (q *Quarantine) countable(findings []poison.Finding) []poison.Finding {
	var counted []poison.Finding
	for _, finding := range findings {
		q.tally.Strike(finding.Request, q.succeeded.Disproved(finding), time.Now())
		struck, discounted := q.tally.Struck(finding.Request)
		isStruck := func(runner string) bool {
			return slices.Contains(struck, runner) || slices.Contains(discounted, runner)
		}
		finding = finding.Without(isStruck)
		if finding.Suspected() {
			explained := q.explained(finding, 0)
			finding = finding.Without(func(runner string) bool { return slices.Contains(explained, runner) })
		}
		finding.Cleared = q.tally.Cleared(finding.Request)
		if finding.Suspected() {
			counted = append(counted, finding)
		}
	}
	return counted
}

// lift removes a request at all nodes. mutex is held.
func (q *Quarantine) lift(request poison.Identity) {
	struck := q.forget(request)
	q.pendingWrites[request] = deleteRow
	q.signal()
	q.tellStruck(struck)
}

// forget makes all known crashes of a request no longer count at this node, and returns them. mutex
// is held.
func (q *Quarantine) forget(request poison.Identity) wire.CrashesStruck {
	mark, _ := q.marks.Find(request)
	struck := wire.CrashesStruck{Request: request, Runners: q.tally.Merge(mark.Finding.For(request), time.Now()).All()}
	delete(q.pendingWrites, request)
	q.strike(struck)
	return struck
}

// strike makes crashes no longer count at this node. mutex is held.
func (q *Quarantine) strike(struck wire.CrashesStruck) {
	if struck.Outage {
		q.tally.Discount(struck.Request, struck.Runners, time.Now())
	} else {
		q.tally.Strike(struck.Request, struck.Runners, time.Now())
		q.succeeded.Record(struck.Request, time.Now())
	}
	q.trials.end(struck.Request)
	mark, marked := q.marks.Find(struck.Request)
	if !marked {
		return
	}
	defer q.Wake()
	q.marks.Drop(struck.Request)
	mark.Age = mark.Known(time.Now())
	q.marks.Put(q.countable([]poison.Finding{mark.Finding}), time.Now())
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
		report.Crashes = allCrashes(q.tally, time.Now())
	}
	for i, c := range report.Crashes {
		report.Crashes[i] = c.Aged(time.Now())
	}
	for _, struck := range report.Struck {
		report.Cleared = append(report.Cleared, struck.Request)
	}
	if len(report.Crashes) == 0 && len(report.Struck) == 0 {
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
	q.unreported.Struck = newest(append(report.Struck, q.unreported.Struck...))
}

// maxUnreported bounds what is kept while there is no holder: the next holder gets a full report
// anyway.
const maxUnreported = 1024

// newest returns the last maxUnreported elements of a list.
func newest[T any](list []T) []T { return list[max(len(list)-maxUnreported, 0):] }

// allCrashes returns all crashes in a tally, ordered by runner.
func allCrashes(tally *poison.Tally, now time.Time) []wire.CrashReport {
	crashes, runs := tally.Crashes(), tally.Runs()
	runners := slices.Sorted(maps.Keys(crashes))
	for _, runner := range slices.Sorted(maps.Keys(runs)) {
		if len(crashes[runner]) == 0 {
			runners = append(runners, runner)
		}
	}
	reports := make([]wire.CrashReport, 0, len(runners))
	for _, runner := range runners {
		reports = append(reports, newReport(runner, crashes[runner], runs[runner], now))
	}
	return reports
}

// newReport returns the report of a crash by the requests of which it is not known when they ran, and the
// runs of the others and of parts.
func newReport(runner string, untimed []poison.Identity, runs []poison.Run, now time.Time) wire.CrashReport {
	report := wire.CrashReport{Runner: runner, Requests: untimed, At: now}
	for _, run := range wireRuns(runs, now) {
		if run.Request.IsPart() {
			report.Parts = append(report.Parts, run)
			continue
		}
		report.Requests, report.Contents = append(report.Requests, run.Request), append(report.Contents, run)
	}
	return report
}

// unknownAge is the age of a run of which it is not known when it was, in milliseconds.
const unknownAge = -1

// wireRuns returns runs with their ages.
func wireRuns(runs []poison.Run, now time.Time) []wire.Run {
	encoded := make([]wire.Run, 0, len(runs))
	for _, run := range runs {
		if run.Ended.IsZero() {
			encoded = append(encoded, wire.Run{Request: run.Request, SentMs: unknownAge, EndedMs: unknownAge})
			continue
		}
		encoded = append(encoded, wire.Run{Request: run.Request, SentMs: now.Sub(run.Sent).Milliseconds(), EndedMs: now.Sub(run.Ended).Milliseconds(), Trial: run.Trial})
	}
	return encoded
}

// parseRuns returns the runs that another node reported.
func parseRuns(encoded []wire.Run, now time.Time) []poison.Run {
	runs := make([]poison.Run, 0, len(encoded))
	for _, run := range encoded {
		if run.EndedMs < 0 {
			runs = append(runs, poison.Run{Request: run.Request})
			continue
		}
		runs = append(runs, poison.Run{
			Request: run.Request, Sent: now.Add(-time.Duration(run.SentMs) * time.Millisecond), Ended: now.Add(-time.Duration(run.EndedMs) * time.Millisecond), Trial: run.Trial,
		})
	}
	return runs
}
