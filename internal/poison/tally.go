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
	// Suspected is how many runners end under a request until all nodes watch it, so that a
	// try that ends well anywhere clears it. Of 80 requests that were running at the ends of
	// 24 runners, 78 were at one end and the two that caused them at five and nine.
	Suspected = 2
	// Refused is how many runners end under a request until it is not run any more: the
	// third is the last that may be lost to it.
	Refused = 3
	// evidenceLifetime is how long an end counts without another one.
	evidenceLifetime = 30 * time.Minute
	// mostRunners bounds the runners kept for a request.
	mostRunners = 16
	// mostEntries bounds the requests of a tally: those at the ends of 64 runners with 64
	// requests each. Those at the fewest ends make room first, then the oldest.
	mostEntries = 4096
)

// Finding is a request under which runners ended.
type Finding struct {
	Request Identity
	// Runners are the incarnations of runners that ended under it, in order.
	Runners []string
}

// String describes the finding to operators and callers.
func (f Finding) String() string {
	return fmt.Sprintf("%d runners ended under requests with this content (%s): %s", len(f.Runners), f.Request.Short(), strings.Join(f.Runners, ", "))
}

// Tally counts the runners that ended under requests. It is not safe for concurrent use.
type Tally struct {
	entries map[Identity]*entry
}

type entry struct {
	runners []string
	last    time.Time
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{entries: make(map[Identity]*entry)} }

// Crashed notes a runner that ended and requests that were there, and returns those of them
// that are suspected at least, if it is news. What ran at one end counts once, however many
// nodes tell of it and however many tries of it were there.
func (t *Tally) Crashed(runner string, requests []Identity, now time.Time) []Finding {
	var findings []Finding
	for _, request := range requests {
		if t.add(request, runner, now) && len(t.entries[request].runners) >= Suspected {
			findings = append(findings, Finding{Request: request, Runners: slices.Clone(t.entries[request].runners)})
		}
	}
	t.trim(now)
	return findings
}

// add notes one end under a request and reports whether it is news.
func (t *Tally) add(request Identity, runner string, now time.Time) bool {
	known := t.entries[request]
	if known == nil || known.expired(now) {
		known = &entry{}
		t.entries[request] = known
	}
	if slices.Contains(known.runners, runner) || len(known.runners) >= mostRunners {
		return false
	}
	known.runners = append(known.runners, runner)
	known.last = now
	return true
}

// Learn takes over what another tally found, and returns it with what this one knew.
func (t *Tally) Learn(finding Finding, now time.Time) Finding {
	for _, runner := range finding.Runners {
		t.add(finding.Request, runner, now)
	}
	known := t.entries[finding.Request]
	if known == nil {
		return finding
	}
	return Finding{Request: finding.Request, Runners: slices.Clone(known.runners)}
}

// Clear forgets a request, as a try of it ended well or an operator says so. It returns
// whether anything was known of it.
func (t *Tally) Clear(request Identity) bool {
	_, known := t.entries[request]
	delete(t.entries, request)
	return known
}

// Knows reports whether a runner ended under the request.
func (t *Tally) Knows(request Identity) bool { return t.entries[request] != nil }

// Crashes returns all that is known, by runner, for another tally.
func (t *Tally) Crashes() map[string][]Identity {
	crashes := make(map[string][]Identity)
	for request, known := range t.entries {
		for _, runner := range known.runners {
			crashes[runner] = append(crashes[runner], request)
		}
	}
	return crashes
}

// Expire forgets ends that are long past, and returns how many requests are left.
func (t *Tally) Expire(now time.Time) int {
	maps.DeleteFunc(t.entries, func(_ Identity, known *entry) bool { return known.expired(now) })
	return len(t.entries)
}

func (e *entry) expired(now time.Time) bool { return now.Sub(e.last) > evidenceLifetime }

// trim makes room, a quarter of it at once as it looks at all entries.
func (t *Tally) trim(now time.Time) {
	if len(t.entries) <= mostEntries || t.Expire(now) <= mostEntries {
		return
	}
	requests := slices.SortedFunc(maps.Keys(t.entries), func(a, b Identity) int {
		left, right := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(len(left.runners), len(right.runners)), left.last.Compare(right.last))
	})
	for _, request := range requests[:len(requests)-mostEntries*3/4] {
		delete(t.entries, request)
	}
}
