package fleet

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
)

// isDraining reports whether a runner stated that it is leaving, in the platform's list or in
// an answer. The list lags, by seconds while the store is down. mutex must be held.
func (f *Fleet) isDraining(known *runner) bool {
	return known.listed.Draining || f.statements.State(known.listed.ID).Leaving
}

// Leaves reports whether a runner stated that it is leaving.
func (f *Fleet) Leaves(runner backend.Runner) bool {
	if listed, present := f.Find(runner.ID); present {
		runner = listed
	}
	return runner.Draining || f.statements.State(runner.ID).Leaving
}

// StatesLimits reports whether a runner is cold, or stated that it wants no or few requests for now.
func (f *Fleet) StatesLimits(runner backend.Runner) bool {
	stated := f.statements.State(runner.ID)
	if stated.Rest > 0 || stated.Window > 0 || stated.Rate > 0 || stated.Brittle {
		return true
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[runner.ID]
	return known != nil && f.isCold(known, f.terms(known))
}

// AllDraining reports whether there are runners of the query's service in its homes and all of
// them are draining, so that none can take the request, whatever it holds.
func (f *Fleet) AllDraining(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := false
	for _, known := range f.runners {
		if !known.present || !known.belongsTo(query.Service, query.Homes) {
			continue
		}
		if !f.isDraining(known) {
			return false
		}
		found = true
	}
	return found
}

// isResting reports whether a runner asked for a rest, or has as many requests as it may have at
// once after one or while it is brittle. mutex must be held.
func (f *Fleet) isResting(known *runner) bool {
	stated := f.statements.State(known.listed.ID)
	return stated.Rest > 0 || (stated.Window > 0 && known.unanswered >= stated.Window) || f.atRejectionPart(known)
}

// Rests reports whether a runner asked this node for a rest that has not ended.
func (f *Fleet) Rests(id string) bool { return f.statements.State(id).Rest > 0 }

// minRestCapacity is the least number of requests that a rested runner is assumed to take.
const minRestCapacity = 2

// recordRest records, as a rest begins, how many requests the runner was answering. It is
// called when the runner refused a request, and reports whether the runner rests. mutex must
// be held.
func (f *Fleet) recordRest(known *runner) bool {
	rest := f.statements.State(known.listed.ID).Rest
	if rest == 0 {
		return false
	}
	now := f.now()
	if !now.Before(known.restUntil) {
		known.activeBeforeRest = max(known.inFlight-known.unanswered, minRestCapacity)
	}
	known.restUntil = now.Add(rest)
	return true
}

// AwaitRest counts a request that waits for a rest to end, until end is called, and returns
// how many requests already wait for the same.
func (f *Fleet) AwaitRest(query Query) (ahead int, end func()) {
	key := requestKey{service: query.Service, unit: query.Unit, homes: query.Homes}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ahead = f.restWaiters[key]
	f.restWaiters[key]++
	return ahead, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.restWaiters[key]--; f.restWaiters[key] == 0 {
			delete(f.restWaiters, key)
		}
	}
}

// restRecheckInterval is the time until a rested runner that has as many requests as it may
// have at once is checked again: enough for some answers.
const restRecheckInterval = 50 * time.Millisecond

// restingRunners describes the runners that could serve a request but for their rest.
// Fleet.mutex guards first.
type restingRunners struct {
	// first is the runner whose rest ends first, after the time in; nil if there is none.
	first *runner
	in    time.Duration
	// capacity is the number of requests of this node that these runners were answering
	// before.
	capacity int
}

// restBlocked finds the runners that could serve a request but for their rest. mutex must be
// held.
func (f *Fleet) restBlocked(query Query) restingRunners {
	var found restingRunners
	for id, known := range f.runners {
		if f.eligibility(known, request(query)) != eligible.Resting || slices.Contains(query.Exclude, id) || f.unitBlockedBy(known, query.Unit) != unblocked {
			continue
		}
		found.capacity += f.waitingCapacity(known)
		left := max(f.statements.State(id).Rest, restRecheckInterval)
		if found.first == nil || left < found.in {
			found.first, found.in = known, left
		}
	}
	return found
}

// RestEndsIn returns the shortest time until a request may be sent to one of the runners that
// could serve it but for their rest, and how many requests of this node those runners were
// answering before; false if there are none.
func (f *Fleet) RestEndsIn(query Query) (in time.Duration, capacity int, rests bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := f.restBlocked(query)
	return found.in, found.capacity, found.first != nil
}

// RetryAfterRest returns after what time a refused request may be sent again: once the first
// rest has ended and the runner has had time for the requests that were given an earlier time,
// by its mean answer time and its slots. It is zero if no runner rests.
func (f *Fleet) RetryAfterRest(query Query) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := f.restBlocked(query)
	first, in := found.first, found.in
	if first == nil {
		return 0
	}
	if now := f.now(); first.deferredUntil.Before(now) {
		first.deferred, first.deferredUntil = 0, now.Add(in)
	}
	each := time.Duration(first.latency * float64(time.Millisecond) / float64(max(first.listed.Slots, 1)))
	first.deferred++
	return in + time.Duration(first.deferred-1)*each
}

// keepDraining lets a runner drain if it did in the entry before. An incarnation that drains ends; a restored
// list may have an earlier state of it.
func keepDraining(listed, before *backend.Runner) {
	listed.Draining = listed.Draining || before.Draining
}
