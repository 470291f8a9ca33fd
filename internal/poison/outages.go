package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// outageLifetime is how long the end of a runner is kept, as a report of another one may come late.
	outageLifetime = time.Minute
	// maxOutageEnds bounds the ends that are kept.
	maxOutageEnds = 1024
	// minOutage and outageShare are how many other runners must end at once for an outage: at least
	// minOutage, and one of outageShare runners.
	minOutage   = 4
	outageShare = 32
)

// Outages keeps which runners ended lately, when and under which requests. Many runners that end at once
// have one cause; it is no request that ran on one of them alone. It is not safe for concurrent use.
type Outages struct{ ends map[string]*runnerEnd }

// runnerEnd is the end of a runner: the earliest time that was reported, and all requests and parts that are
// known to have run there.
type runnerEnd struct {
	at       time.Time
	requests map[Identity]bool
}

// NewOutages returns an Outages without any ends.
func NewOutages() *Outages { return &Outages{ends: make(map[string]*runnerEnd)} }

// Record records the end of a runner under some runs; several nodes may report different ones. It has no
// effect if it is not known when they were.
func (o *Outages) Record(runner string, runs []Run, now time.Time) {
	for _, run := range runs {
		if !run.known() || now.Sub(run.Ended) > outageLifetime {
			continue
		}
		known := o.ends[runner]
		if known == nil {
			o.trim(now)
			known = &runnerEnd{at: run.Ended, requests: make(map[Identity]bool)}
			o.ends[runner] = known
		}
		if run.Ended.Before(known.at) {
			known.at = run.Ended
		}
		known.requests[run.Request] = true
	}
}

// Learn records the ends of a finding of another node, and what ran on runners whose ends are known though the
// finding doesn't say when.
func (o *Outages) Learn(finding Finding, now time.Time) {
	for _, one := range finding.ends() {
		if known := o.ends[one.runner]; known != nil {
			known.requests[finding.Request] = true
		}
		run := one.run
		run.Request = finding.Request
		o.Record(one.runner, []Run{run}, now)
	}
}

// trim drops ends that are too old or too many.
func (o *Outages) trim(now time.Time) {
	maps.DeleteFunc(o.ends, func(_ string, known *runnerEnd) bool { return now.Sub(known.at) > outageLifetime })
	if len(o.ends) < maxOutageEnds {
		return
	}
	times := make([]time.Time, 0, len(o.ends))
	for _, known := range o.ends {
		times = append(times, known.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	median := times[len(times)/2]
	maps.DeleteFunc(o.ends, func(_ string, known *runnerEnd) bool { return !known.at.After(median) })
}

// Explained returns the runners of a finding that ended in an outage: at the same time as others, of all the
// given number of runners, on which the request did not run. Those that ended less than settle ago are left
// out, as reports may still tell that it did.
func (o *Outages) Explained(finding Finding, runners int, now time.Time, settle time.Duration) []string {
	var explained []string
	least := max(minOutage, runners/outageShare)
	found := finding.All()
	for _, one := range finding.ends() {
		at := one.run.Ended
		if known := o.ends[one.runner]; known != nil {
			at = known.at
		}
		if !at.IsZero() && now.Sub(at) >= settle && o.besides(finding.Request, found, at, least) {
			explained = append(explained, one.runner)
		}
	}
	return explained
}

// besides reports whether at least the given number of runners ended at a time without a request, which was
// found to have run on some of them.
func (o *Outages) besides(request Identity, found []string, at time.Time, least int) bool {
	count := 0
	for runner, known := range o.ends {
		if known.at.Sub(at).Abs() < atOnce && !known.requests[request] && !slices.Contains(found, runner) {
			if count++; count == least {
				return true
			}
		}
	}
	return false
}
