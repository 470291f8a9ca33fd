package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// SuspectThreshold is how many runners must end while running a request before all nodes
	// watch it, so that an attempt that succeeds anywhere clears it. Of 80 requests that were
	// running when 24 runners ended, 78 were involved in one end, and the two that caused the
	// ends in five and nine.
	SuspectThreshold = 2
	// RefuseThreshold is how many runners must end while running a request before it is refused:
	// the third is the last one that may be lost to it.
	RefuseThreshold = 3
	// evidenceLifetime is how long the crashes of a request count if no further one follows.
	evidenceLifetime = 30 * time.Minute
	// maxEntries bounds the requests in a tally: 64 crashes with 64 requests each. Requests with
	// the fewest crashes are evicted first, the oldest of them before the others.
	maxEntries = 4096
)

// Finding is a request that was running on runners when these ended.
type Finding struct {
	Request Identity
	// Runners are the incarnations that ended while running the request, in order. Only those that ended
	// one after the other count; Beside are others that ended at the same time as one of them.
	Runners []string
	Beside  []string
	// Runs are when the request ran on Runners, BesideRuns when on those of Beside, in their order; empty if
	// that is not known.
	Runs       []Run
	BesideRuns []Run
	// Controlled is set for a part once a request without it has succeeded in its service since it became
	// suspected: it is not that nothing succeeds.
	Controlled bool
	// Cleared is set if the request has once succeeded, as far as the node knows that made the finding. It
	// is not told to others.
	Cleared bool
	// Age is how long the finding had been known to the node that sent it; zero for an own one.
	Age time.Duration
}

// For returns the finding as one of a request, also if it is the zero Finding.
func (f Finding) For(request Identity) Finding {
	f.Request = request
	return f
}

// Suspected reports whether enough runners ended under the request for all nodes to watch it. Many sound
// requests share a part, so that runners beside one that counts say nothing of it.
func (f Finding) Suspected() bool {
	if f.Request.IsPart() {
		return len(f.Runners) >= SuspectThreshold
	}
	return len(f.Runners)+len(f.Beside) >= SuspectThreshold
}

// All returns the runners that count and those beside them.
func (f Finding) All() []string { return slices.Concat(f.Runners, f.Beside) }

// String describes the finding for operators and callers.
func (f Finding) String() string { return f.Describe("this content") }

// Describe is String for requests that have something in common, such as a part of their prompts.
func (f Finding) Describe(common string) string {
	return fmt.Sprintf("%d runners ended under requests with %s (%s): %s", len(f.Runners), common, f.Request.Short(), strings.Join(f.Runners, ", "))
}

// Tally counts, by request, the runners that ended while running it. It is not safe for
// concurrent use.
type Tally struct {
	entries map[Identity]*entry
}

// entry is what a tally records of one request: the runners whose ends are known, those whose ends no longer
// count, and when the last end was recorded or struck. A runner in struck or discounted stays out of found, so
// that nodes agree in whichever order they learn of an end and of what strikes it.
type entry struct {
	found Finding
	// struck are those that a success or an operator struck, discounted those that an outage explains.
	struck, discounted []string
	lastCrash          time.Time
	// cleared is set once ends were struck as the request succeeded, or an operator lifted it.
	cleared bool
}

// add records an end, or when it was, and reports whether that changed which ends are known or count.
func (e *entry) add(runner string, run Run, now time.Time) bool {
	if slices.Contains(e.struck, runner) || slices.Contains(e.discounted, runner) || !e.found.add(runner, run) {
		return false
	}
	e.lastCrash = now
	return true
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{entries: make(map[Identity]*entry)} }

// RecordCrash records a runner that ended and the requests that it was running, and returns
// those that are at least suspected, if the crash was not known before. Each crash counts once
// per request, however many nodes report it and however many attempts of the request were
// running there.
func (t *Tally) RecordCrash(runner string, requests []Identity, now time.Time) []Finding {
	runs := make([]Run, 0, len(requests))
	for _, request := range requests {
		runs = append(runs, Run{Request: request})
	}
	return t.RecordRuns(runner, runs, now)
}

// RecordRuns is RecordCrash for runs of which it is known when they were. One cause may end many runners at
// once and must count once: of ends that overlap, one counts.
func (t *Tally) RecordRuns(runner string, runs []Run, now time.Time) []Finding {
	var findings []Finding
	for _, run := range runs {
		known := t.live(run.Request, now)
		if known.add(runner, run, now) && known.found.Suspected() {
			findings = append(findings, known.found)
		}
	}
	t.trim(now)
	return findings
}

// live returns the entry of a request, a new one if there is none or it has expired.
func (t *Tally) live(request Identity, now time.Time) *entry {
	known := t.entries[request]
	if known == nil || known.expired(now) {
		known = &entry{found: Finding{Request: request}, lastCrash: now}
		t.entries[request] = known
	}
	return known
}

// Merge adds another tally's finding, and returns it combined with what this tally knew.
func (t *Tally) Merge(finding Finding, now time.Time) Finding {
	for _, one := range finding.ends() {
		t.live(finding.Request, now).add(one.runner, one.run, now)
	}
	if known := t.entries[finding.Request]; known != nil {
		return known.found
	}
	return finding
}

// Strike makes the ends of some runners no longer count for a request, because an attempt of it
// succeeded or an operator asked for it.
func (t *Tally) Strike(request Identity, runners []string, now time.Time) {
	if len(runners) > 0 {
		known := t.without(request, runners, now)
		known.struck, known.cleared = addRunners(known.struck, runners), true
	}
}

// Discount makes the ends of some runners no longer count for a request, because an outage explains them. It
// says nothing of the other ends.
func (t *Tally) Discount(request Identity, runners []string, now time.Time) {
	if len(runners) > 0 {
		known := t.without(request, runners, now)
		known.discounted = addRunners(known.discounted, runners)
	}
}

// without drops the ends of some runners from the entry of a request and returns the entry.
func (t *Tally) without(request Identity, runners []string, now time.Time) *entry {
	known := t.entries[request]
	if known == nil {
		known = &entry{found: Finding{Request: request}}
		t.entries[request] = known
	}
	known.found = known.found.Without(func(runner string) bool { return slices.Contains(runners, runner) })
	known.lastCrash = now
	t.trim(now)
	return known
}

// addRunners adds runners to those of a list that it lacks. The last maxEnds are kept.
func addRunners(list, runners []string) []string {
	for _, runner := range runners {
		if !slices.Contains(list, runner) {
			list = append(list, runner)
		}
	}
	return list[max(len(list)-maxEnds, 0):]
}

// Cleared reports whether the request has succeeded since an end under it was known, or an operator lifted
// it.
func (t *Tally) Cleared(request Identity) bool {
	known := t.entries[request]
	return known != nil && known.cleared
}

// Runners returns the runners whose ends count for a request.
func (t *Tally) Runners(request Identity) []string {
	if known := t.entries[request]; known != nil {
		return slices.Clone(known.found.Runners)
	}
	return nil
}

// Struck returns the runners whose ends no longer count for a request: those that a success or an operator
// struck, and those that an outage explains.
func (t *Tally) Struck(request Identity) (struck, discounted []string) {
	if known := t.entries[request]; known != nil {
		return slices.Clone(known.struck), slices.Clone(known.discounted)
	}
	return nil, nil
}

// Contains reports whether an end counts for a request.
func (t *Tally) Contains(request Identity) bool {
	known := t.entries[request]
	return known != nil && len(known.found.Runners) > 0
}

// Crashes returns the recorded crashes by runner of which it is not known when they were, for transfer to
// another tally.
func (t *Tally) Crashes() map[string][]Identity {
	crashes := make(map[string][]Identity)
	for request, known := range t.entries {
		for _, one := range known.found.ends() {
			if !one.run.known() {
				crashes[one.runner] = append(crashes[one.runner], request)
			}
		}
	}
	return crashes
}

// Runs returns the other recorded crashes by runner, for transfer to another tally.
func (t *Tally) Runs() map[string][]Run {
	runs := make(map[string][]Run)
	for _, known := range t.entries {
		for _, one := range known.found.ends() {
			if one.run.known() {
				runs[one.runner] = append(runs[one.runner], one.run)
			}
		}
	}
	return runs
}

// Expire removes expired entries and returns how many are left.
func (t *Tally) Expire(now time.Time) int {
	maps.DeleteFunc(t.entries, func(_ Identity, known *entry) bool { return known.expired(now) })
	return len(t.entries)
}

func (e *entry) expired(now time.Time) bool { return now.Sub(e.lastCrash) > evidenceLifetime }

// trim enforces maxEntries. It removes a quarter of them at once, because it scans all entries.
func (t *Tally) trim(now time.Time) {
	if len(t.entries) <= maxEntries || t.Expire(now) <= maxEntries {
		return
	}
	requests := slices.SortedFunc(maps.Keys(t.entries), func(a, b Identity) int {
		left, right := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(len(left.found.Runners), len(right.found.Runners)), left.lastCrash.Compare(right.lastCrash))
	})
	for _, request := range requests[:len(requests)-maxEntries*3/4] {
		delete(t.entries, request)
	}
}
