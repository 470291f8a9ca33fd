package fleet

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/place"
)

const (
	// costCold is what a cold runner is dearer than a warm one to the most urgent
	// request, in milliseconds: it is slow, and others may warm it. Each step less urgent
	// bears a smaller part.
	costCold = 200.0
	// costWarming is the cost, in milliseconds, of each request more than a runner that
	// was cold just now has shown to bear.
	costWarming = costWhenFull
)

// ColdStarts is what the fleet asks to know which runners are cold. Its functions are
// called with the fleet's mutex held and must not call back.
type ColdStarts struct {
	// Terms returns the terms of a service; the zero Terms where no runner is ever cold.
	Terms func(service string) coldstart.Terms
	// Limit returns the terms of a runner that takes so many requests a second, above zero; lent is
	// set where a holder lends permits. It is not set where runners name no limits.
	Limit func(rate float64, lent bool) coldstart.Terms
	// Returned returns when a zone that was taken out was taken back last; zero for
	// never. It is not set where no zone is ever taken out.
	Returned func(zone place.Zone) time.Time
}

// ColdFigures counts what became of permits at this node.
type ColdFigures struct {
	// Cold is how many listed runners are cold.
	Cold int
	// Lent is how many permits came, Spent how many requests were sent to cold runners,
	// Refused how often a choice passed over a cold runner for want of a permit.
	Lent, Spent, Refused uint64
}

// ColdNews is a runner that became cold, or warm.
type ColdNews struct {
	Runner  string
	Service string
	Zone    string
	// Cold is set when it became cold, for the time For.
	Cold  bool
	For   time.Duration
	Terms coldstart.Terms
	// Said is set when the runner said so itself; else nobody said that it is warm.
	Said bool
}

// SetColdStarts tells how to know cold runners; it is called once, before any runner is
// listed. Without it none is cold.
func (f *Fleet) SetColdStarts(starts ColdStarts) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.coldStarts = starts
}

// hearCold takes over a row's word of a runner's coldness. known.listed is still the row
// before it; a row that was heard already says nothing new. A runner that was listed
// before is no newcomer: its identifier is that of one incarnation; nor is one taken to be
// that may have been passed over. mutex is held.
func (f *Fleet) hearCold(known *runner, row backend.Runner, came bool) {
	if !came && row.Revision != 0 && row.Revision == known.listed.Revision {
		return
	}
	_, returns := f.left[row.ID]
	delete(f.left, row.ID)
	known.cold.Hear(coldstart.Word{For: row.ColdFor, Proof: !came || returns || !f.replaced || len(f.keep.passed) > 0}, f.now())
}

// leftLifetime is how long a runner that left the list is remembered as no newcomer: rows
// may vanish while the store is down, and come back.
const leftLifetime = coldstart.Longest

// noteLeft remembers a runner that is forgotten. mutex is held.
func (f *Fleet) noteLeft(id string) {
	now := f.now()
	f.left[id] = now
	for earlier, at := range f.left {
		if now.Sub(at) > leftLifetime {
			delete(f.left, earlier)
		}
	}
}

// terms are those of a runner's service; those of never being cold for a runner that
// never was, which are most and are asked about with each choice. mutex is held.
func (f *Fleet) terms(known *runner) coldstart.Terms {
	if f.coldStarts.Terms == nil || (known.cold.NeverCold() && f.returnedAt(known).IsZero()) {
		return coldstart.Terms{}
	}
	return f.coldStarts.Terms(known.listed.Service)
}

// returnedAt is when a runner's zone was taken back last; the zero time for never.
func (f *Fleet) returnedAt(known *runner) time.Time {
	if f.coldStarts.Returned == nil {
		return time.Time{}
	}
	return f.coldStarts.Returned(place.Zone(known.listed.Zone))
}

// coldUntil is until when a runner is cold, which may lie in the past. mutex is held.
func (f *Fleet) coldUntil(known *runner, terms coldstart.Terms) time.Time {
	return known.cold.Until(terms, f.returnedAt(known))
}

// isCold reports whether a runner is cold now. mutex is held.
func (f *Fleet) isCold(known *runner, terms coldstart.Terms) bool {
	return f.now().Before(f.coldUntil(known, terms))
}

// costOfCold is how much dearer a runner is that is cold, or was just now. mutex is held.
func (f *Fleet) costOfCold(known *runner, query Query) float64 {
	terms := f.terms(known)
	until := f.coldUntil(known, terms)
	if f.now().Before(until) || f.limited(known) {
		return costCold / float64(1+max(query.Priority, 0))
	}
	share, warming := known.cold.Warming(until, terms, f.now())
	if !warming || known.inFlight < share {
		return 0
	}
	return costWarming * float64(known.inFlight-share+1)
}

// ColdFigures returns the figures of cold runners at this node.
func (f *Fleet) ColdFigures() ColdFigures {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	figures := f.coldFigures
	for _, known := range f.runners {
		if known.present && f.isCold(known, f.terms(known)) {
			figures.Cold++
		}
	}
	return figures
}

// TakeColdNews returns the runners that became cold or warm since the last call, and the
// time until the next one becomes warm by itself; zero for none. What waits looks again
// when one became warm.
func (f *Fleet) TakeColdNews() (news []ColdNews, next time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.now()
	warmed := false
	for _, known := range f.runners {
		terms := f.terms(known)
		left := f.coldUntil(known, terms).Sub(now)
		if left > 0 && (next == 0 || left < next) {
			next = left
		}
		if cold := left > 0; cold != known.toldCold {
			known.toldCold = cold
			warmed = warmed || !cold
			news = append(news, ColdNews{Runner: known.listed.ID, Service: known.listed.Service, Zone: known.listed.Zone,
				Cold: cold, For: max(left, 0), Terms: terms, Said: known.cold.Said()})
		}
	}
	if warmed {
		f.notify()
	}
	return news, next
}
