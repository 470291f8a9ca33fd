package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MarkLifetime is how long a mark lasts. After that, a request that was marked falsely, or
	// that a repaired runner would handle, may run again.
	MarkLifetime = 30 * time.Minute
	// ProvisionalPeriod is how long a new refusal is provisional: clients are told to retry when
	// the period ends. If the request is innocent, attempts running elsewhere succeed well within
	// that time, which lifts the mark.
	ProvisionalPeriod = 2 * time.Second
	// MaxMarks bounds the marks of all nodes together.
	MaxMarks = 256
)

// Mark is what a node knows about a request that is suspected or refused.
type Mark struct {
	Finding
	// Since is when this node first learned that the request is refused; zero if it is only
	// suspected.
	Since time.Time
	// first is when this node first learned of the request.
	first time.Time
}

// Refused reports whether enough ends count for a request to be refused that has never succeeded.
func (m Mark) Refused() bool { return len(m.Runners) >= RefuseThreshold }

// Provisional reports whether running attempts may still lift the mark.
func (m Mark) Provisional(now time.Time) bool { return now.Sub(m.Since) < ProvisionalPeriod }

// Known returns how long the request has been known to any node, as far as this one knows.
func (m Mark) Known(now time.Time) time.Duration { return now.Sub(m.first) }

// Expired reports whether the mark has outlived MarkLifetime.
func (m Mark) Expired(now time.Time) bool { return now.Sub(m.first) > MarkLifetime }

// Marks holds the requests that a node watches or refuses. Its methods may be called
// concurrently. Reads take no lock, because every request reads the marks.
type Marks struct {
	mutex   sync.Mutex
	current atomic.Pointer[map[Identity]Mark]
}

// NewMarks returns an empty set of marks.
func NewMarks() *Marks {
	m := &Marks{}
	m.current.Store(&map[Identity]Mark{})
	return m
}

// Empty reports whether there are no marks, in which case no request needs to be identified.
func (m *Marks) Empty() bool { return len(*m.current.Load()) == 0 }

// Find returns the mark of a request; false if it has none.
func (m *Marks) Find(request Identity) (Mark, bool) {
	mark, known := (*m.current.Load())[request]
	return mark, known
}

// All returns the marks, those with the most crashes first.
func (m *Marks) All() []Mark {
	return slices.SortedFunc(maps.Values(*m.current.Load()), func(a, b Mark) int {
		if len(a.Runners) != len(b.Runners) {
			return len(b.Runners) - len(a.Runners)
		}
		return slices.Compare(a.Request[:], b.Request[:])
	})
}

// Put adds findings to the marks and returns the marks that are new or have more evidence than before.
func (m *Marks) Put(findings []Finding, now time.Time) []Mark {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	changed := maps.Clone(*m.current.Load())
	var updated []Mark
	for _, finding := range findings {
		if finding.Age > MarkLifetime {
			continue
		}
		before, known := changed[finding.Request]
		if known && before.Expired(now) {
			// Crashes after the expiry are counted from zero.
			before, known = Mark{}, false
		}
		after := merge(before, finding, known, now)
		if after.Refused() && !before.Refused() {
			after.Since = now
		}
		if !known || after.evidence() != before.evidence() || after.Controlled != before.Controlled {
			updated = append(updated, after)
		}
		changed[finding.Request] = after
	}
	m.current.Store(&changed)
	return updated
}

// merge adds a finding's runners to a mark, or makes a new mark of it.
func merge(before Mark, finding Finding, known bool, now time.Time) Mark {
	if !known {
		return Mark{Finding: finding, first: now.Add(-finding.Age)}
	}
	before.Controlled, before.Cleared = before.Controlled || finding.Controlled, before.Cleared || finding.Cleared
	for _, one := range finding.ends() {
		before.add(one.runner, one.run)
	}
	return before
}

// Blamed reports whether a request that holds a part is to be refused. A part may be at all ends because it
// comes with the one that causes them, or because all runners end: requests without it must have
// succeeded since, and marks that the request does not hold must not explain its ends. Marks at no fewer
// ends do; if cleared says that the part has once succeeded, any mark does, and more ends must be left. The
// end of a trial is explained only by what was tried with it, and suffices.
func (m *Marks) Blamed(part Mark, holds []Identity, cleared bool) bool {
	if !part.Controlled {
		return false
	}
	left := m.unexplained(part, holds, cleared)
	if slices.ContainsFunc(left, part.endedTrial) {
		return true
	}
	if cleared {
		return len(left) >= RefuseThreshold
	}
	return len(left) >= SuspectThreshold
}

// unexplained returns the ends of a part that marks which a request does not hold leave unexplained, see Blamed.
func (m *Marks) unexplained(part Mark, holds []Identity, cleared bool) []string {
	left := slices.Clone(part.Runners)
	for _, other := range *m.current.Load() {
		explains := cleared || len(other.Runners) >= len(part.Runners)
		if !explains || !other.Refused() || slices.Contains(holds, other.Request) {
			continue
		}
		left = slices.DeleteFunc(left, func(runner string) bool {
			return slices.Contains(other.All(), runner) && (!part.endedTrial(runner) || other.endedTrial(runner))
		})
	}
	return left
}

// Control notes that a request of a service succeeded that holds these parts, and returns findings of the
// suspected parts that it does not hold and that were not controlled before.
func (m *Marks) Control(service string, holds []Identity) []Finding {
	var controlled []Finding
	for identity, mark := range *m.current.Load() {
		if !mark.Controlled && identity.isPartOf(service) && !slices.Contains(holds, identity) {
			finding := mark.Finding
			finding.Controlled = true
			controlled = append(controlled, finding)
		}
	}
	return controlled
}

// Drop removes the mark of a request.
func (m *Marks) Drop(request Identity) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	changed := maps.Clone(*m.current.Load())
	delete(changed, request)
	m.current.Store(&changed)
}

// Evictable returns the requests whose marks should be dropped: expired ones and, beyond
// MaxMarks, those with the fewest crashes.
func (m *Marks) Evictable(now time.Time) []Identity {
	var evictable []Identity
	kept := 0
	for _, mark := range m.All() {
		if mark.Expired(now) || kept >= MaxMarks {
			evictable = append(evictable, mark.Request)
			continue
		}
		kept++
	}
	return evictable
}
