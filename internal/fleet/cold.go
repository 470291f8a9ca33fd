package fleet

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/place"
)

const (
	// costCold is the extra cost in milliseconds of a cold runner for the most urgent request:
	// the runner is slow, and other requests can warm it. It is divided by one plus the
	// priority for less urgent requests.
	costCold = 200.0
	// costWarming is the cost in milliseconds of each request beyond what a recently cold
	// runner has shown to handle.
	costWarming = costWhenFull
)

// ColdStarts provides what the fleet needs to know which runners are cold. Its functions are
// called with the fleet's mutex held and must not call back.
type ColdStarts struct {
	// Terms returns the terms of a service; the zero Terms if its runners are never cold.
	Terms func(service string) coldstart.Terms
	// Limit returns the terms of a runner that accepts rate requests a second, above zero;
	// lent is set if a lease holder lends permits. It is nil if runners state no limits.
	Limit func(rate float64, lent bool) coldstart.Terms
	// Returned returns when a zone that was taken out was last put back; zero for never. It is
	// nil if zones are never taken out.
	Returned func(zone place.Zone) time.Time
}

// ColdFigures counts the cold runners and the permits at this node.
type ColdFigures struct {
	// Cold is the number of listed runners that are cold.
	Cold int
	// Lent is the number of permits received, Spent the number of requests sent to cold
	// runners, Refused how often a cold runner was not chosen for lack of a permit.
	Lent, Spent, Refused uint64
}

// ColdChange is a runner that became cold or warm.
type ColdChange struct {
	Runner  string
	Service string
	Zone    string
	// Cold is set if it became cold, for the duration For.
	Cold  bool
	For   time.Duration
	Terms coldstart.Terms
	// Reported is set if the runner reported its state itself, and not if it merely has not
	// reported that it is warm.
	Reported bool
}

// SetColdStarts sets how cold runners are recognized. It must be called once, before any
// runner is listed; without it no runner is cold.
func (f *Fleet) SetColdStarts(starts ColdStarts) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.coldStarts = starts
}

// recordColdState applies the cold state in a runner's row; known.listed still holds the
// previous row. A row that was applied already adds nothing. A runner counts as new, and so as
// cold, only if its identifier, which is unique to one incarnation, was not listed before and
// this node cannot have skipped it. mutex must be held.
func (f *Fleet) recordColdState(known *runner, row backend.Runner, isNew bool) {
	if !isNew && row.Revision.Exists() && row.Revision.Number() == known.listed.Revision.Number() && row.ColdFor == known.listed.ColdFor {
		return
	}
	_, relisted := f.departures[row.ID]
	delete(f.departures, row.ID)
	known.cold.ApplyStatus(coldstart.Status{ColdFor: row.ColdFor, Conclusive: !isNew || relisted || !f.listRead || len(f.retention.skipped) > 0}, f.now())
}

// departureLifetime is how long a departed runner is remembered, so as not to count as new:
// rows may vanish while the store is down and come back.
const departureLifetime = coldstart.MaxDuration

// departure is a runner that was forgotten. left is set if it left, and did not merely vanish while the
// platform could not be reached.
type departure struct {
	at   time.Time
	left bool
}

// recordDeparture remembers a runner that is forgotten. mutex must be held.
func (f *Fleet) recordDeparture(id string, left bool) {
	now := f.now()
	f.departures[id] = departure{at: now, left: left}
	for earlier, departed := range f.departures {
		if now.Sub(departed.at) > departureLifetime {
			delete(f.departures, earlier)
		}
	}
}

// terms returns the cold start terms of a runner's service. For a runner that was never cold
// it returns the zero terms at once: most runners never were, and each choice examines all.
// mutex must be held.
func (f *Fleet) terms(known *runner) coldstart.Terms {
	if f.coldStarts.Terms == nil || (known.cold.NeverCold() && f.returnedAt(known).IsZero()) {
		return coldstart.Terms{}
	}
	return f.coldStarts.Terms(known.listed.Service)
}

// returnedAt is when a runner's zone was last put back; the zero time for never.
func (f *Fleet) returnedAt(known *runner) time.Time {
	if f.coldStarts.Returned == nil {
		return time.Time{}
	}
	return f.coldStarts.Returned(place.Zone(known.listed.Zone))
}

// coldUntil is the time until which a runner is cold, which may be past. mutex must be held.
func (f *Fleet) coldUntil(known *runner, terms coldstart.Terms) time.Time {
	return known.cold.Until(terms, f.returnedAt(known))
}

// isCold reports whether a runner is cold now. mutex must be held.
func (f *Fleet) isCold(known *runner, terms coldstart.Terms) bool {
	return f.now().Before(f.coldUntil(known, terms))
}

// coldCost is the extra cost of a runner that is or was just cold. mutex must be held.
func (f *Fleet) coldCost(known *runner, query Query) float64 {
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

// ColdFigures returns the counts of cold runners and permits at this node.
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

// TakeColdChanges returns the runners that became cold or warm since the last call, and the
// time until the next one becomes warm by itself; zero for none. If one became warm, waiting
// requests are woken.
func (f *Fleet) TakeColdChanges() (changes []ColdChange, next time.Duration) {
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
		if cold := left > 0; cold != known.lastCold {
			known.lastCold = cold
			warmed = warmed || !cold
			changes = append(changes, ColdChange{Runner: known.listed.ID, Service: known.listed.Service, Zone: known.listed.Zone,
				Cold: cold, For: max(left, 0), Terms: terms, Reported: known.cold.StatedByRunner()})
		}
	}
	if warmed {
		f.notify()
	}
	return changes, next
}
