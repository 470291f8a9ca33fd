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
