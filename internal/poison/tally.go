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
	// maxRunners bounds the runners kept per request, maxBeside those that ended at the same time as one
	// of them.
	maxRunners = 16
	maxBeside  = 64
	// maxEntries bounds the requests in a tally: 64 crashes with 64 requests each. Requests with
	// the fewest crashes are evicted first, the oldest of them before the others.
	maxEntries = 4096
)

// Finding is a request that was running on runners when these ended.
type Finding struct {
	Request Identity
	// Runners are the incarnations that ended while running the request, in order. Of a part of prompts
	// only those that ended one after the other count; Beside are others that ended at the same time as
	// one of them.
	Runners []string
	Beside  []string
	// Runs are, for a part, when it ran on Runners, in their order; empty for a content.
	Runs []Run
	// Controlled is set for a part once a request without it has succeeded in its service since it became
	// suspected: it is not that nothing succeeds.
	Controlled bool
	// Age is how long the finding had been known to the node that sent it; zero for an own one.
	Age time.Duration
}

// For returns the finding as one of a request, also if it is the zero Finding.
func (f Finding) For(request Identity) Finding {
	f.Request = request
	return f
}

// All returns the runners that count and those beside them.
func (f Finding) All() []string { return slices.Concat(f.Runners, f.Beside) }

// Without returns the finding without the ends of some runners.
func (f Finding) Without(left func(runner string) bool) Finding {
	kept := f
	kept.Runners, kept.Runs, kept.Beside = nil, nil, slices.DeleteFunc(slices.Clone(f.Beside), left)
	for i, runner := range f.Runners {
		if left(runner) {
			continue
		}
		kept.Runners = append(kept.Runners, runner)
		if i < len(f.Runs) {
			kept.Runs = append(kept.Runs, f.Runs[i])
		}
	}
	return kept
}

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

// entry is what a tally records of one request: the runners whose ends count, those whose ends no
// longer do, and when the last end was recorded or struck. A runner in struck stays out of runners,
// so that nodes agree in whichever order they learn of an end and of what strikes it.
type entry struct {
	runners   []string
	struck    []string
	lastCrash time.Time
	// runs are, for a part, when it ran on runners that this tally has a report of, and beside the
	// runners that ended at the same time as one in runners.
	runs   map[string]Run
	beside []string
}

// finding returns what the entry holds of a request.
func (e *entry) finding(request Identity) Finding {
	f := Finding{Request: request, Runners: slices.Clone(e.runners), Beside: slices.Clone(e.beside)}
	if e.runs != nil {
		for _, runner := range e.runners {
			f.Runs = append(f.Runs, e.runs[runner])
		}
	}
	return f
}

// knows reports whether the end of a runner is recorded, whether or not it counts.
func (e *entry) knows(runner string) bool {
	return slices.Contains(e.runners, runner) || slices.Contains(e.struck, runner) || slices.Contains(e.beside, runner)
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{entries: make(map[Identity]*entry)} }

// RecordCrash records a runner that ended and the requests that it was running, and returns
// those that are at least suspected, if the crash was not known before. Each crash counts once
// per request, however many nodes report it and however many attempts of the request were
// running there.
func (t *Tally) RecordCrash(runner string, requests []Identity, now time.Time) []Finding {
	var findings []Finding
	for _, request := range requests {
		if t.add(request, runner, now) && len(t.entries[request].runners) >= SuspectThreshold {
			findings = append(findings, t.entries[request].finding(request))
		}
	}
	t.trim(now)
	return findings
}

// live returns the entry of a request, a new one if there is none or it has expired.
func (t *Tally) live(request Identity, now time.Time) *entry {
	known := t.entries[request]
	if known == nil || known.expired(now) {
		known = &entry{lastCrash: now}
		t.entries[request] = known
	}
	return known
}

// add records one crash for a request and reports whether it was not known before.
func (t *Tally) add(request Identity, runner string, now time.Time) bool {
	known := t.live(request, now)
	if known.knows(runner) || len(known.runners) >= maxRunners {
		return false
	}
	known.runners = append(known.runners, runner)
	known.lastCrash = now
	return true
}

// Merge adds another tally's finding, and returns it combined with what this tally knew.
func (t *Tally) Merge(finding Finding, now time.Time) Finding {
	for i, runner := range finding.Runners {
		if i < len(finding.Runs) {
			run := finding.Runs[i]
			run.Request = finding.Request
			t.addRun(run, runner, now)
		} else {
			t.add(finding.Request, runner, now)
		}
	}
	known := t.entries[finding.Request]
	if known == nil {
		return finding
	}
	for _, runner := range finding.Beside {
		known.addBeside(runner)
	}
	return known.finding(finding.Request)
}

// Strike makes the ends of some runners no longer count for a request, because an attempt of it
// succeeded or an operator asked for it.
func (t *Tally) Strike(request Identity, runners []string, now time.Time) {
	if len(runners) == 0 {
		return
	}
	known := t.entries[request]
	if known == nil {
		known = &entry{}
		t.entries[request] = known
	}
	for _, runner := range runners {
		if !slices.Contains(known.struck, runner) {
			known.struck = append(known.struck, runner)
		}
	}
	known.struck = known.struck[max(len(known.struck)-maxRunners, 0):]
	struck := func(runner string) bool { return slices.Contains(runners, runner) }
	known.runners = slices.DeleteFunc(known.runners, struck)
	known.beside = slices.DeleteFunc(known.beside, struck)
	maps.DeleteFunc(known.runs, func(runner string, _ Run) bool { return struck(runner) })
	known.lastCrash = now
	t.trim(now)
}

// Runners returns the runners whose ends count for a request.
func (t *Tally) Runners(request Identity) []string {
	if known := t.entries[request]; known != nil {
		return slices.Clone(known.runners)
	}
	return nil
}

// Struck returns the runners whose ends no longer count for a request.
func (t *Tally) Struck(request Identity) []string {
	if known := t.entries[request]; known != nil {
		return slices.Clone(known.struck)
	}
	return nil
}

// Contains reports whether an end counts for a request.
func (t *Tally) Contains(request Identity) bool {
	known := t.entries[request]
	return known != nil && len(known.runners) > 0
}

// Crashes returns all recorded crashes by runner, for transfer to another tally.
func (t *Tally) Crashes() map[string][]Identity {
	crashes := make(map[string][]Identity)
	for request, known := range t.entries {
		for _, runner := range known.runners {
			if known.runs == nil {
				crashes[runner] = append(crashes[runner], request)
			}
		}
	}
	return crashes
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
		return cmp.Or(cmp.Compare(len(left.runners), len(right.runners)), left.lastCrash.Compare(right.lastCrash))
	})
	for _, request := range requests[:len(requests)-maxEntries*3/4] {
		delete(t.entries, request)
	}
}
