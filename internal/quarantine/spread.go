package quarantine

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

const (
	// maxAggregators is how many nodes aggregate in addition to the holder. One of them is still
	// there if another one is lost together with the holder.
	maxAggregators = 3
	// reportTimeout bounds the sending of a report: a reachable node answers within a few
	// milliseconds, one in another region within some tens of milliseconds.
	reportTimeout = 500 * time.Millisecond
	// exchangeInterval is the time between two exchanges of a node that refuses requests or has
	// witnessed crashes.
	exchangeInterval = time.Second
	// witnessPeriod is how long a node repeats the crashes that it has witnessed, as the nodes that
	// aggregated them may be gone.
	witnessPeriod = 30 * time.Second
	// nodesPerRepeat is how many nodes may repeat their crashes to the same aggregators in each
	// exchangeInterval.
	nodesPerRepeat = 96
	// lateExchange is the time between two exchanges above which the node was stalled and may have
	// missed what others told it.
	lateExchange = 2 * exchangeInterval
)

// nodes are the nodes that a node tells about crashes.
type nodes struct {
	// count is the number of nodes of the fleet.
	count int
	// aggregators are addresses of nodes that may aggregate in addition to the holder, which may be
	// stalled or about to leave. All nodes have the same ones, in the same order.
	aggregators []string
	// neighbors are addresses of the nodes to which refused requests are passed on.
	neighbors []string
}

// witnessedCrash is a crash under this node's own requests.
type witnessedCrash struct {
	wire.CrashReport
	at time.Time
}

// SetNodes sets the number of nodes, the nodes that may aggregate in addition to the holder, and the
// neighbors. An empty list changes nothing.
func (q *Quarantine) SetNodes(count int, aggregators, neighbors []string) {
	before := q.nodes.Load()
	after := &nodes{count: count, aggregators: before.aggregators, neighbors: before.neighbors}
	if len(aggregators) > 0 {
		after.aggregators = aggregators
	}
	if len(neighbors) > 0 {
		after.neighbors = neighbors
	}
	q.nodes.Store(after)
	if len(before.neighbors) == 0 && len(neighbors) > 0 {
		// This node may have started after the others were told.
		q.compare()
	}
}

// tellAggregators sends a report to maxAggregators nodes that accept it. mutex is held.
func (q *Quarantine) tellAggregators(report wire.PoisonReport) {
	known := q.nodes.Load()
	targets := slices.Concat(known.aggregators, known.neighbors)
	wanted := maxAggregators
	if slices.Contains(targets[:min(maxAggregators, len(targets))], q.Self()) {
		wanted--
	}
	q.tell(report, targets, wanted)
}

// tell sends a report until the wanted number of the targets have accepted it, in their order. mutex
// is held.
func (q *Quarantine) tell(report wire.PoisonReport, targets []string, wanted int) {
	if q.ctx.Err() != nil {
		return
	}
	self := q.Self()
	queue := make(chan string, len(targets))
	for i, address := range targets {
		if address != self && !slices.Contains(targets[:i], address) {
			queue <- address
		}
	}
	close(queue)
	for range wanted {
		q.calls.Go(func() {
			for address := range queue {
				if q.send(address, report) {
					return
				}
			}
		})
	}
}

// send sends a report to one node and learns from its answer. It reports whether there was one.
func (q *Quarantine) send(address string, report wire.PoisonReport) bool {
	ctx, cancel := context.WithTimeout(q.ctx, reportTimeout)
	defer cancel()
	answer, err := q.SendReport(ctx, address, report)
	if err != nil {
		q.CountUndelivered()
		q.Log.Info("crash report not delivered", "peer", address, "crashes", len(report.Crashes), "struck", len(report.Struck), "marks", len(report.Marks), "error", err.Error())
		return false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, struck := range answer.Struck {
		q.learnStruck(struck)
	}
	q.learnMarks(answer.Marks)
	if report.Compare && answer.Digest != q.digest() {
		q.tell(wire.PoisonReport{Marks: wireMarks(q.refused())}, []string{address}, 1)
	}
	return true
}

// Answer adds the report of another node, and returns what this node knows beyond it.
func (q *Quarantine) Answer(report wire.PoisonReport) wire.PoisonAnswer {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.addReport(report)
	var answer wire.PoisonAnswer
	for _, told := range report.Marks {
		struck, discounted := q.tally.Struck(told.Request)
		untold := func(runner string) bool { return !slices.Contains(told.Runners, runner) }
		if struck = slices.DeleteFunc(struck, untold); len(struck) > 0 {
			answer.Struck = append(answer.Struck, wire.CrashesStruck{Request: told.Request, Runners: struck})
		}
		if discounted = slices.DeleteFunc(discounted, untold); len(discounted) > 0 {
			answer.Struck = append(answer.Struck, wire.CrashesStruck{Request: told.Request, Runners: discounted, Outage: true})
		}
	}
	for _, c := range report.Crashes {
		for _, request := range identities(c) {
			if mark, known := q.marks.Find(request); known {
				answer.Marks = append(answer.Marks, wireMark(mark, time.Now()))
			}
		}
	}
	if report.Compare {
		answer.Digest = q.digest()
		if answer.Digest != report.Digest {
			answer.Marks = wireMarks(q.refused())
		}
	}
	return answer
}

// learnMarks marks what another node refuses or suspects. mutex is held.
func (q *Quarantine) learnMarks(marks []wire.PoisonMark) {
	if len(marks) == 0 {
		return
	}
	now := time.Now()
	findings := make([]poison.Finding, 0, len(marks))
	for _, mark := range marks {
		age := time.Duration(max(mark.AgeMs, 0)) * time.Millisecond
		finding := poison.Finding{Request: mark.Request, Runners: mark.Runners, Beside: mark.Beside, Controlled: mark.Controlled, Runs: parseRuns(mark.Runs, now), BesideRuns: parseRuns(mark.BesideRuns, now), Age: age}
		findings = append(findings, finding.Adopted())
	}
	q.dispute(findings)
	q.apply(findings, SourcePeer)
	q.publish(q.merge(findings))
}

// learnStruck handles crashes that no longer count according to another node. If they counted for a
// mark here, the neighbors are told. mutex is held.
func (q *Quarantine) learnStruck(struck wire.CrashesStruck) {
	mark, _ := q.marks.Find(struck.Request)
	counted := slices.ContainsFunc(struck.Runners, func(runner string) bool { return slices.Contains(mark.Runners, runner) })
	q.strike(struck)
	if counted {
		q.Log.Info("request no longer suspected of ending runners", "content", struck.Request.Short(), "reason", "another node cleared it", "outage", struck.Outage, "runners", struck.Runners)
		q.tellStruck(struck)
	}
}

// exchange repeats the crashes that this node has witnessed to the aggregators, and compares what is
// refused with a neighbor. It does nothing while there is nothing to tell. The holder also repairs the
// table.
func (q *Quarantine) exchange() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if crashes := q.recentCrashes(); len(crashes) > 0 && rand.IntN(max(q.nodes.Load().count/nodesPerRepeat, 1)) == 0 {
		q.tellAggregators(wire.PoisonReport{Crashes: crashes})
	}
	if len(q.refused()) > 0 {
		q.compareLocked()
	}
	q.discountOutages()
	if q.Holds(*q.service.Load()) {
		q.repair()
	}
}

// compare compares what is refused with a neighbor.
func (q *Quarantine) compare() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.compareLocked()
}

// compareLocked is compare for a caller that holds mutex.
func (q *Quarantine) compareLocked() {
	neighbors := slices.Clone(q.nodes.Load().neighbors)
	rand.Shuffle(len(neighbors), func(i, j int) { neighbors[i], neighbors[j] = neighbors[j], neighbors[i] })
	q.tell(wire.PoisonReport{Compare: true, Digest: q.digest()}, neighbors, 1)
}

// recentCrashes returns the crashes witnessed within witnessPeriod that still count, and drops the
// others. mutex is held.
func (q *Quarantine) recentCrashes() []wire.CrashReport {
	var recent []wire.CrashReport
	q.witnessed = slices.DeleteFunc(q.witnessed, func(c witnessedCrash) bool {
		c.Requests = slices.DeleteFunc(slices.Clone(c.Requests), func(request poison.Identity) bool { return !q.counts(request, c.Runner) })
		ignored := func(run wire.Run) bool { return !q.counts(run.Request, c.Runner) }
		c.Parts, c.Contents = slices.DeleteFunc(slices.Clone(c.Parts), ignored), slices.DeleteFunc(slices.Clone(c.Contents), ignored)
		if len(c.Requests)+len(c.Parts) == 0 || time.Since(c.at) > witnessPeriod {
			return true
		}
		recent = append(recent, c.Aged(time.Now()))
		return false
	})
	return recent
}

// counts reports whether a crash still counts for a request or part that is not refused yet. mutex is
// held.
func (q *Quarantine) counts(request poison.Identity, runner string) bool {
	_, refused := q.Refused(request)
	return !refused && slices.Contains(q.tally.Runners(request), runner)
}

// identities returns the requests of a report and the parts of their prompts.
func identities(report wire.CrashReport) []poison.Identity {
	all := slices.Clone(report.Requests)
	for _, run := range report.Parts {
		all = append(all, run.Request)
	}
	return all
}

// refused returns the marks of the requests that are refused.
func (q *Quarantine) refused() []poison.Mark {
	return slices.DeleteFunc(q.marks.All(), func(mark poison.Mark) bool { return !mark.Refused() || mark.Expired(time.Now()) })
}

// digest returns the digest of the set of refused requests, of which were controlled, and of how many ends of
// a part count; zero if it is empty.
func (q *Quarantine) digest() uint64 {
	digest := uint64(0)
	for _, mark := range q.refused() {
		digest ^= binary.BigEndian.Uint64(mark.Request[:])
		if mark.Controlled {
			digest ^= uint64(len(mark.Runners)) * binary.BigEndian.Uint64(mark.Request[8:])
		}
	}
	return digest
}

func wireMarks(marks []poison.Mark) []wire.PoisonMark {
	now := time.Now()
	encoded := make([]wire.PoisonMark, 0, len(marks))
	for _, mark := range marks {
		encoded = append(encoded, wireMark(mark, now))
	}
	return encoded
}

func wireMark(mark poison.Mark, now time.Time) wire.PoisonMark {
	return wire.PoisonMark{Request: mark.Request, Runners: mark.Runners, Beside: mark.Beside, Controlled: mark.Controlled, Runs: wireRuns(mark.Runs, now), BesideRuns: wireRuns(mark.BesideRuns, now), AgeMs: mark.Known(now).Milliseconds()}
}
