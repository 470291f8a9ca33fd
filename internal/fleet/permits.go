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

// permitTerms returns the terms on which a runner gets requests and the time until which they
// apply; that time has passed if the runner gets any number. For a cold runner with another
// limit, the lower rate applies. mutex must be held.
func (f *Fleet) permitTerms(known *runner) (terms coldstart.Terms, until time.Time) {
	terms = f.terms(known)
	until = f.coldUntil(known, terms)
	rate, lasts := f.rate(known)
	if rate == 0 || f.coldStarts.Limit == nil {
		return terms, until
	}
	if f.now().Before(until) && terms.Rate <= rate {
		return terms, until
	}
	return f.coldStarts.Limit(rate, f.lends(known.listed.Service)), f.now().Add(lasts)
}

// lenderLifetime is how long after an answer a lease holder is taken to lend permits.
const lenderLifetime = 2 * time.Second

// RecordLender records that the holder of a service's control lease answered while its lease
// was valid.
func (f *Fleet) RecordLender(service string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lenderSeenAt[service] = f.now()
}

// lends reports whether a lease holder lends permits for a service. mutex must be held.
func (f *Fleet) lends(service string) bool {
	seenAt, ok := f.lenderSeenAt[service]
	return ok && f.now().Sub(seenAt) < lenderLifetime
}

// limited reports whether the rate of requests to a runner is bounded other than by a cold start.
// mutex must be held.
func (f *Fleet) limited(known *runner) bool {
	rate, _ := f.rate(known)
	return f.coldStarts.Limit != nil && rate > 0
}

// hasPermit reports whether one more request may be sent to a runner now: it needs no permit,
// or there is one. mutex must be held.
func (f *Fleet) hasPermit(known *runner) bool {
	terms, until := f.permitTerms(known)
	if !f.now().Before(until) {
		return true
	}
	return known.cold.MaySend(known.listed.ID, terms, f.now())
}

// spendPermit counts a request sent to a runner and returns when its permit expires; the zero
// time if the runner needs no permit. mutex must be held.
func (f *Fleet) spendPermit(known *runner) (until time.Time) {
	terms, termsUntil := f.permitTerms(known)
	if !f.now().Before(termsUntil) {
		known.cold.Sent(f.now())
		return until
	}
	f.coldFigures.Spent++
	return known.cold.Spend(terms, f.now())
}

// Release undoes a choice whose request was not sent.
func (f *Fleet) Release(choice Choice, query Query) {
	f.returnPermit(choice)
	f.Done(choice, query, Canceled, 0, false)
}

// returnPermit gives back the permit spent on a choice, for other requests. A request that was
// allowed by a random draw, without a lent permit, counts as sent.
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

// permitted reports whether a request may still be sent to the runner chosen for it earlier. A
// cold runner is only permitted by the permit spent at that time, as the remaining ones are
// for other requests, a brittle one also if it had room then. mutex must be held.
func (f *Fleet) permitted(known *runner, choice Choice) bool {
	_, until := f.permitTerms(known)
	return !f.now().Before(until) || f.now().Before(choice.permitUntil) || f.now().Before(choice.roomUntil)
}

// permitBlocked returns the runners that could serve a request if this node had permits for
// them. mutex must be held.
func (f *Fleet) permitBlocked(query Query) []*runner {
	var cold []*runner
	for id, known := range f.runners {
		if reason := f.eligibility(known, request(query)); (reason != eligible.Cold && reason != eligible.Limited) || slices.Contains(query.Exclude, id) {
			continue
		}
		if f.unitBlockedBy(known, query.Unit) == unblocked {
			cold = append(cold, known)
		}
	}
	return cold
}

// WaitsForPermit reports whether some runners could serve a request if this node had permits
// for them. It is called when no runner was found.
func (f *Fleet) WaitsForPermit(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cold := f.permitBlocked(query)
	f.coldFigures.Refused += uint64(len(cold))
	return len(cold) > 0
}

// PermitIn returns the shortest time until a request may be sent to one of the runners that
// could serve it with a permit: until the next permit, or until the runner is warm.
func (f *Fleet) PermitIn(query Query) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.now()
	holderIn := max(f.ordersAt[query.Service].Sub(now), 0)
	var shortest time.Duration
	found := false
	for _, known := range f.permitBlocked(query) {
		terms, until := f.permitTerms(known)
		in := min(known.cold.Next(known.listed.ID, terms, holderIn, now), until.Sub(now))
		if !found || in < shortest {
			shortest, found = max(in, 0), true
		}
	}
	return shortest, found
}

// rateShareFactor is how many times its even share of a rate one node may expect, as not all
// nodes send requests at the same time.
const rateShareFactor = 2

// LimitedRate returns how many requests a second this node, as one of several, may expect to send to
// the runners that could serve a request but for the limits they stated. It returns false if there
// are none or if one of the runners is cold and stated no limit.
func (f *Fleet) LimitedRate(query Query) (rate float64, limited bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.permitBlocked(query) {
		if !f.limited(known) {
			return 0, false
		}
		bound, _ := f.rate(known)
		rate += bound
	}
	return rate * min(rateShareFactor/float64(f.nodeCount()), 1), rate > 0
}

// PermitsWanted is the number of permits that this node wants for a runner.
type PermitsWanted struct {
	Runner string
	Count  int
	// Rate is the limit that the runner stated, in requests a second; zero for none.
	Rate float64
}

// PermitsWanted returns the permits wanted by count requests that wait for a unit: as many as
// requests, spread over the runners in the homes that hold the unit and have no permit left,
// in the order of sortForPermits.
func (f *Fleet) PermitsWanted(service string, unit backend.Unit, homes place.Homes, count int) []PermitsWanted {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cold := f.permitBlocked(Query{Service: service, Unit: unit, Homes: homes})
	if len(cold) == 0 {
		return nil
	}
	f.sortForPermits(cold)
	wanted := make([]PermitsWanted, 0, min(len(cold), count))
	for i, known := range cold[:min(len(cold), count)] {
		share := (count + len(cold) - 1 - i) / len(cold)
		rate, _ := f.rate(known)
		wanted = append(wanted, PermitsWanted{Runner: known.listed.ID, Count: share, Rate: rate})
	}
	return wanted
}

// sortForPermits sorts the runners for which permits are requested by a cost: the time until
// permits are expected for them, this node's requests in flight, the distance, and a small
// random part, so that the nodes do not all ask for the same runner. mutex must be held.
func (f *Fleet) sortForPermits(cold []*runner) {
	costs := make(map[*runner]float64, len(cold))
	for _, known := range cold {
		terms, _ := f.permitTerms(known)
		wait := known.cold.Next(known.listed.ID, terms, 0, f.now())
		cost := milliseconds(wait) + costPerRequest*float64(known.inFlight) + rand.Float64()*tieJitter
		if known.listed.Zone != f.zone {
			cost += costOtherZone
		}
		costs[known] = cost
	}
	slices.SortFunc(cold, func(a, b *runner) int { return cmp.Compare(costs[a], costs[b]) })
}

// PermitsLent is what the lease holder lent for a runner.
type PermitsLent struct {
	Runner string
	Count  int
	// Next is the time after which the holder expects to lend more.
	Next time.Duration
}

// ApplyPermits applies what the lease holder lent in answer to a request sent at the time sent.
// Waiting requests are woken, also if they now have to wait longer than expected.
func (f *Fleet) ApplyPermits(lent []PermitsLent, sent time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	wake := false
	for _, permits := range lent {
		known := f.runners[permits.Runner]
		if known == nil {
			continue
		}
		known.cold.AddPermits(permits.Count, sent, permits.Next, f.now())
		f.coldFigures.Lent += uint64(max(permits.Count, 0))
		wake = wake || permits.Count > 0 || permits.Next > 0
	}
	if wake {
		f.notify()
	}
}
