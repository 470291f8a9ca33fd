package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/eligible"
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

// bounds are the terms by which a runner gets requests, and until when: until lies in the past for
// one that gets any number. One that is cold and named a limit gets what the lower rate allows.
// mutex is held.
func (f *Fleet) bounds(known *runner) (terms coldstart.Terms, until time.Time) {
	terms = f.terms(known)
	until = f.coldUntil(known, terms)
	stated := f.statements.Of(known.listed.ID)
	if stated.Rate == 0 || f.coldStarts.Limit == nil {
		return terms, until
	}
	if f.now().Before(until) && terms.Rate <= stated.Rate {
		return terms, until
	}
	return f.coldStarts.Limit(stated.Rate, f.lends(known.listed.Service)), f.now().Add(stated.RateFor)
}

// lenderHeard is how long an answer of a holder shows that it lends permits.
const lenderHeard = 2 * time.Second

// HearLender notes that the holder of a service's control lease answered, with its lease valid.
func (f *Fleet) HearLender(service string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lenders[service] = f.now()
}

// lends reports whether a holder lends permits for a service. mutex is held.
func (f *Fleet) lends(service string) bool {
	heard, known := f.lenders[service]
	return known && f.now().Sub(heard) < lenderHeard
}

// limited reports whether a runner named a limit that is in force. mutex is held.
func (f *Fleet) limited(known *runner) bool {
	return f.coldStarts.Limit != nil && f.statements.Of(known.listed.ID).Rate > 0
}

// permit reports whether one request may be sent to a runner now, cold or not. mutex is held.
func (f *Fleet) permit(known *runner) bool {
	terms, until := f.bounds(known)
	if !f.now().Before(until) {
		return true
	}
	return known.cold.May(known.listed.ID, terms, f.now())
}

// spendPermit counts one request that is sent to a runner, and returns until when the
// permit holds; the zero time for a runner that needs none. mutex is held.
func (f *Fleet) spendPermit(known *runner) (until time.Time) {
	terms, bounded := f.bounds(known)
	if !f.now().Before(bounded) {
		known.cold.Sent(f.now())
		return until
	}
	f.coldFigures.Spent++
	return known.cold.Spend(terms, f.now())
}

// Release ends a choice whose request was not sent: what was counted for it counts no more.
func (f *Fleet) Release(choice Choice, query Query) {
	f.returnPermit(choice)
	f.Done(choice, query, Canceled, 0, false)
}

// returnPermit lets others spend what was spent on a choice. What a draw allowed counts as
// sent.
func (f *Fleet) returnPermit(choice Choice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[choice.Runner.ID]
	if known == nil || !f.now().Before(choice.permitUntil) {
		return
	}
	known.cold.Return(choice.permitUntil, f.now())
	f.coldFigures.Spent--
	f.notify()
}

// permitted reports whether a request may be sent to a runner that was chosen for it some
// time ago: a cold one only by the permit that was spent then, as those left are for other
// requests. mutex is held.
func (f *Fleet) permitted(known *runner, choice Choice) bool {
	_, until := f.bounds(known)
	return !f.now().Before(until) || f.now().Before(choice.permitUntil)
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

// coldOnly returns the cold runners that could serve a request if this node had permits.
// mutex is held.
func (f *Fleet) coldOnly(query Query) []*runner {
	var cold []*runner
	for id, known := range f.runners {
		if reason := f.eligible(known, request(query)); (reason != eligible.Cold && reason != eligible.Limited) || slices.Contains(query.Exclude, id) {
			continue
		}
		if f.serves(known, query.Unit) == unhindered {
			cold = append(cold, known)
		}
	}
	return cold
}

// WaitsForPermit reports whether cold runners could serve a request, for which this node
// has no permit. It is asked when no runner was found.
func (f *Fleet) WaitsForPermit(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cold := f.coldOnly(query)
	f.coldFigures.Refused += uint64(len(cold))
	return len(cold) > 0
}

// PermitIn returns the shortest time until a request may be sent to one of the cold
// runners that could serve it: by a permit, or as the runner is warm by then.
func (f *Fleet) PermitIn(query Query) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.now()
	holderIn := max(f.ordersAt[query.Service].Sub(now), 0)
	var shortest time.Duration
	found := false
	for _, known := range f.coldOnly(query) {
		terms, until := f.bounds(known)
		in := min(known.cold.Next(known.listed.ID, terms, holderIn, now), until.Sub(now))
		if !found || in < shortest {
			shortest, found = max(in, 0), true
		}
	}
	return shortest, found
}

// shareOfRate is how many times its even share of a rate one node may expect, as not all nodes want
// something at once.
const shareOfRate = 2

// LimitedRate returns how many requests a second this node may expect to send to the runners that
// could serve a request but for the limits they named, of so many nodes; false where there is none, or
// a cold one may serve it.
func (f *Fleet) LimitedRate(query Query, nodes int) (rate float64, limited bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.coldOnly(query) {
		if !f.limited(known) {
			return 0, false
		}
		rate += f.statements.Of(known.listed.ID).Rate
	}
	return rate * min(shareOfRate/float64(max(nodes, 1)), 1), rate > 0
}

// PermitsWanted is how many permits for a runner this node wants.
type PermitsWanted struct {
	Runner string
	Count  int
	// Rate is the limit that the runner named, in requests a second; zero for none.
	Rate float64
}

// PermitsWanted returns for which cold runners permits are wanted by requests that wait
// for a unit, count of them: as many as wait and have none yet, spread over the runners
// in the homes that hold it, those in this node's zone first.
func (f *Fleet) PermitsWanted(service string, unit backend.Unit, homes place.Homes, count int) []PermitsWanted {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cold := f.coldOnly(Query{Service: service, Unit: unit, Homes: homes})
	if len(cold) == 0 {
		return nil
	}
	f.sortForPermits(cold)
	wanted := make([]PermitsWanted, 0, min(len(cold), count))
	for i, known := range cold[:min(len(cold), count)] {
		share := (count + len(cold) - 1 - i) / len(cold)
		wanted = append(wanted, PermitsWanted{Runner: known.listed.ID, Count: share, Rate: f.statements.Of(known.listed.ID).Rate})
	}
	return wanted
}

// sortForPermits orders runners for which permits are asked: those that lend sooner first,
// then those with fewer requests of this node, then those nearer, else by chance, so that
// the nodes do not all ask for the same one. mutex is held.
func (f *Fleet) sortForPermits(cold []*runner) {
	costs := make(map[*runner]float64, len(cold))
	for _, known := range cold {
		terms, _ := f.bounds(known)
		wait := known.cold.Next(known.listed.ID, terms, 0, f.now())
		cost := milliseconds(wait) + costPerRequest*float64(known.inFlight) + rand.Float64()*tieSpread
		if known.listed.Zone != f.zone {
			cost += costOtherZone
		}
		costs[known] = cost
	}
	slices.SortFunc(cold, func(a, b *runner) int { return cmp.Compare(costs[a], costs[b]) })
}

// PermitsLent is what the holder lent for a runner.
type PermitsLent struct {
	Runner string
	Count  int
	// Next is the time until it expects to lend more.
	Next time.Duration
}

// ApplyPermits takes over what the holder lent in answer to a question sent then. What
// waits looks again, also where it has to wait longer than it was expected to.
func (f *Fleet) ApplyPermits(lent []PermitsLent, sent time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	came := false
	for _, permits := range lent {
		known := f.runners[permits.Runner]
		if known == nil {
			continue
		}
		known.cold.Lent(permits.Count, sent, permits.Next, f.now())
		f.coldFigures.Lent += uint64(max(permits.Count, 0))
		came = came || permits.Count > 0 || permits.Next > 0
	}
	if came {
		f.notify()
	}
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
