package quarantine

import (
	"slices"
	"time"

	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// outageSettle is how long after an end the other nodes' reports of the runners that ended with it are awaited
// until marks are corrected: well within the time in which a refusal is provisional.
const outageSettle = 500 * time.Millisecond

// explained returns the runners of a finding that ended in an outage, at least settle ago: none if enough
// others ended for the request to be suspected without them. mutex is held.
func (q *Quarantine) explained(finding poison.Finding, settle time.Duration) []string {
	runners := q.outages.Explained(finding, q.CountRunners(*q.service.Load()), time.Now(), settle)
	others := finding.Without(func(runner string) bool { return slices.Contains(runners, runner) })
	if len(others.Runners) >= poison.SuspectThreshold {
		return nil
	}
	return runners
}

// dispute keeps the refusals of other nodes that an outage explains: those nodes may not know of the other
// runners that ended. What the findings tell of the runners is learned first. mutex is held.
func (q *Quarantine) dispute(findings []poison.Finding) {
	for _, finding := range findings {
		q.outages.Learn(finding, time.Now())
	}
	for _, finding := range findings {
		if len(finding.Runners) >= poison.RefuseThreshold && len(q.disputed) < poison.MaxMarks && len(q.explained(finding, 0)) > 0 {
			q.disputed[finding.Request] = finding
		}
	}
}

// discountOutages corrects marks by the ends that an outage explains: the reports of the other runners came
// after the mark, or only to this node. The neighbors are told. mutex is held.
func (q *Quarantine) discountOutages() {
	for _, mark := range q.marks.All() {
		q.discount(mark.Finding)
	}
	for request, finding := range q.disputed {
		if q.discount(finding) || len(q.explained(finding, 0)) == 0 {
			delete(q.disputed, request)
		}
	}
}

// discount strikes the ends of a finding that an outage explains, and reports whether there were any. mutex is
// held.
func (q *Quarantine) discount(finding poison.Finding) bool {
	explained := q.explained(finding, outageSettle)
	if len(explained) == 0 {
		return false
	}
	struck := wire.CrashesStruck{Request: finding.Request, Runners: explained, Outage: true}
	q.strike(struck)
	q.Log.Info("ends of runners explained by an outage", "content", finding.Request.Short(), "part", finding.Request.IsPart(), "runners", explained)
	q.tellStruck(struck)
	switch _, marked := q.marks.Find(finding.Request); {
	case marked:
		q.pendingWrites[finding.Request] = putRow
	case len(finding.Runners) >= poison.RefuseThreshold || !q.tally.Contains(finding.Request):
		q.pendingWrites[finding.Request] = deleteRow
	default:
		// Deleting the row would lift the end that is left. One that refuses nothing may stay.
		return true
	}
	q.signal()
	return true
}
