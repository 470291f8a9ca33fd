package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MarkLifetime is how long a mark stands: a request that was marked falsely, or that a
	// repaired runner would bear, may run again after that.
	MarkLifetime = 30 * time.Minute
	// Provisional is how long a request that is refused is told to come back: tries that
	// are running elsewhere end well in that time if it is innocent, which lifts the mark.
	Provisional = 2 * time.Second
	// MostMarks bounds the marks of all nodes together.
	MostMarks = 256
)

// Mark is what a node knows of a request that is suspected or refused.
type Mark struct {
	Finding
	// Since is when this node first heard that it is refused; zero for one that is only
	// suspected.
	Since time.Time
	// first is when this node first heard of it at all.
	first time.Time
}

// Refused reports whether the request is not to be run.
func (m Mark) Refused() bool { return len(m.Runners) >= Refused }

// Provisional reports whether the mark may still be lifted by tries that are running.
func (m Mark) Provisional(now time.Time) bool { return now.Sub(m.Since) < Provisional }

// Expired reports whether the mark has stood long enough.
func (m Mark) Expired(now time.Time) bool { return now.Sub(m.first) > MarkLifetime }

// Marks are the requests that a node watches or refuses. Its methods may be called
// concurrently; reading takes no lock, as each request reads.
type Marks struct {
	mutex   sync.Mutex
	current atomic.Pointer[map[Identity]Mark]
}

// NewMarks returns no marks.
func NewMarks() *Marks {
	m := &Marks{}
	m.current.Store(&map[Identity]Mark{})
	return m
}

// Empty reports whether there is no mark, so that no request needs to be known.
func (m *Marks) Empty() bool { return len(*m.current.Load()) == 0 }

// Find returns the mark of a request; false when it has none.
func (m *Marks) Find(request Identity) (Mark, bool) {
	mark, known := (*m.current.Load())[request]
	return mark, known
}

// All returns the marks, those with the most ends first.
func (m *Marks) All() []Mark {
	return slices.SortedFunc(maps.Values(*m.current.Load()), func(a, b Mark) int {
		if len(a.Runners) != len(b.Runners) {
			return len(b.Runners) - len(a.Runners)
		}
		return slices.Compare(a.Request[:], b.Request[:])
	})
}

// Put adds findings to the marks and returns those that are suspected, or refused, from now
// on.
func (m *Marks) Put(findings []Finding, now time.Time) []Mark {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	changed := maps.Clone(*m.current.Load())
	var news []Mark
	for _, finding := range findings {
		before, known := changed[finding.Request]
		if known && before.Expired(now) {
			// The ends after it count anew.
			before, known = Mark{}, false
		}
		after := merge(before, finding, known, now)
		if after.Refused() && !before.Refused() {
			after.Since = now
		}
		if !known || after.Refused() != before.Refused() {
			news = append(news, after)
		}
		changed[finding.Request] = after
	}
	m.current.Store(&changed)
	return news
}

func merge(before Mark, finding Finding, known bool, now time.Time) Mark {
	if !known {
		return Mark{Finding: finding, first: now}
	}
	before.Runners = slices.Clone(before.Runners)
	for _, runner := range finding.Runners {
		if !slices.Contains(before.Runners, runner) && len(before.Runners) < mostRunners {
			before.Runners = append(before.Runners, runner)
		}
	}
	return before
}

// Drop lifts the mark of a request.
func (m *Marks) Drop(request Identity) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	changed := maps.Clone(*m.current.Load())
	delete(changed, request)
	m.current.Store(&changed)
}

// Spare returns the marks that are to go: those that have expired and, beyond MostMarks,
// those with the fewest ends.
func (m *Marks) Spare(now time.Time) []Identity {
	var spare []Identity
	kept := 0
	for _, mark := range m.All() {
		if mark.Expired(now) || kept >= MostMarks {
			spare = append(spare, mark.Request)
			continue
		}
		kept++
	}
	return spare
}
