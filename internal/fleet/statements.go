package fleet

import (
	"slices"
	"time"

	"lilacvane/internal/eligible"
)

// leaves reports whether a runner said that it leaves, on the platform's list or in an answer:
// the list is late, by seconds while the store is away. mutex is held.
func (f *Fleet) leaves(known *runner) bool {
	return known.listed.Draining || f.statements.Of(known.listed.ID).Leaving
}

// AllLeave reports whether there are runners of a query's service in its homes, and all of them
// leave, so that none can take the request, whatever it holds.
func (f *Fleet) AllLeave(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := false
	for _, known := range f.runners {
		if !known.present || !known.serves(query.Service, query.Homes) {
			continue
		}
		if !f.leaves(known) {
			return false
		}
		found = true
	}
	return found
}

// takesNoMore reports whether a runner wants nothing from this node, or has rested and has as much as
// it may have at once. mutex is held.
func (f *Fleet) takesNoMore(known *runner) bool {
	stated := f.statements.Of(known.listed.ID)
	return stated.Rest > 0 || (stated.Window > 0 && known.unanswered >= stated.Window)
}

// Rests reports whether a runner asked this node for a time without requests that lasts.
func (f *Fleet) Rests(id string) bool { return f.statements.Of(id).Rest > 0 }

// leastTaken is what a runner that rested is supposed to take at least.
const leastTaken = 2

// noteRest notes what a runner that turned a request away took, as it begins to rest, and
// reports whether it rests. mutex is held.
func (f *Fleet) noteRest(known *runner) bool {
	rest := f.statements.Of(known.listed.ID).Rest
	if rest == 0 {
		return false
	}
	now := f.now()
	if !now.Before(known.restsUntil) {
		known.tookBefore = max(known.inFlight-known.unanswered, leastTaken)
	}
	known.restsUntil = now.Add(rest)
	return true
}

// AwaitRest notes that a request waits for a rest to end, until end is called, and returns how
// many wait for the same before it.
func (f *Fleet) AwaitRest(query Query) (ahead int, end func()) {
	key := asked{service: query.Service, unit: query.Unit, homes: query.Homes}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ahead = f.restWaits[key]
	f.restWaits[key]++
	return ahead, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.restWaits[key]--; f.restWaits[key] == 0 {
			delete(f.restWaits, key)
		}
	}
}

// returnLook is the time until another look at a runner that has rested and has as much as it may
// have at once: some answers.
const returnLook = 50 * time.Millisecond

// restingRunners are those that could serve a request but for their rest. Fleet.mutex guards first.
type restingRunners struct {
	// first is the one whose rest ends first, in that time; nil when there is none.
	first *runner
	in    time.Duration
	// room is how many requests of this node they took together before.
	room int
}

// restOnly finds the runners that could serve a request but for their rest. mutex is held.
func (f *Fleet) restOnly(query Query) restingRunners {
	var found restingRunners
	for id, known := range f.runners {
		if f.eligible(known, request(query)) != eligible.Resting || slices.Contains(query.Exclude, id) || f.serves(known, query.Unit) != unhindered {
			continue
		}
		found.room += max(known.tookBefore, leastTaken)
		left := max(f.statements.Of(id).Rest, returnLook)
		if found.first == nil || left < found.in {
			found.first, found.in = known, left
		}
	}
	return found
}

// RestEndsIn returns the shortest time until a request may be sent to one of the runners that
// could serve it but for their rest, and how many requests of this node they took before; false
// when there is none.
func (f *Fleet) RestEndsIn(query Query) (in time.Duration, room int, rests bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := f.restOnly(query)
	return found.in, found.room, found.first != nil
}

// ReturnAfterRest returns when a request that is refused may come back: once the first rest has
// ended and the runner has had the time for those that were told the same before, by its mean
// time for an answer and its slots. It is zero when no runner rests.
func (f *Fleet) ReturnAfterRest(query Query) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found := f.restOnly(query)
	first, in := found.first, found.in
	if first == nil {
		return 0
	}
	if now := f.now(); first.deferredTo.Before(now) {
		first.deferred, first.deferredTo = 0, now.Add(in)
	}
	each := time.Duration(first.latency * float64(time.Millisecond) / float64(max(first.listed.Slots, 1)))
	first.deferred++
	return in + time.Duration(first.deferred-1)*each
}
