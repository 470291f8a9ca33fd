package fleet

import (
	"cmp"
	"slices"

	"lilacvane/internal/backend"
)

// A node of hundreds sends to few of thousands of runners. It keeps some of those that hold
// each unit, and some of each service, in each region, from its own zone and from others,
// and passes the rest over: what it keeps grows with what may be asked for, not with the
// runners. The node that controls a service keeps all.
//
// Of its own zone all nodes keep the same runners, so that what one has a runner read of a
// prompt serves the requests of the others; of other zones each node keeps its own, so that
// together they use all.

// Bound is how many runners a node keeps that controls no service.
type Bound struct {
	// Runners is how many it keeps whatever they hold.
	Runners int
	// Unit is how many that hold a unit it keeps beyond that, Service how many of a
	// service, of its zone and of all others each, by region.
	Unit    int
	Service int
}

// DefaultBound is a bound of 1 to 2 MB with some hundred models.
var DefaultBound = Bound{Runners: 512, Unit: 16, Service: 64}

// share is what a bound divides runners by.
type share struct {
	service string
	// unit is empty for all of the service.
	unit   backend.Unit
	region string
	near   bool
}

// keeper decides which runners are kept. Fleet.mutex guards it.
type keeper struct {
	// bound is zero where all are kept.
	bound Bound
	zone  string
	// seed makes the order of other zones' runners the node's own.
	seed uint64
	// all is set while the node needs all runners. passed are the services of which one was
	// passed over since the whole list was read; true where one was that does not leave.
	all    bool
	passed map[string]bool
	// kept counts the present runners by share.
	kept map[share]int
	// listRevision is that of the newest change of the list that this node may have taken.
	listRevision uint64
}

// sharesOf calls tell with each share that a runner counts in.
func (k *keeper) sharesOf(listed *backend.Runner, tell func(share)) {
	of := share{service: listed.Service, region: listed.Region, near: listed.Zone == k.zone}
	tell(of)
	for _, holding := range listed.Models {
		of.unit = backend.Unit{Model: holding.Model}
		tell(of)
		for _, adapter := range holding.Adapters {
			of.unit.Adapter = adapter
			tell(of)
		}
	}
}

// count adds a runner to the shares, or takes it out. Nothing is counted without a bound.
func (k *keeper) count(listed *backend.Runner, by int) {
	if k.bound == (Bound{}) {
		return
	}
	k.sharesOf(listed, func(s share) {
		if k.kept[s] += by; k.kept[s] == 0 {
			delete(k.kept, s)
		}
	})
}

// lacks reports whether a share that the runner counts in has fewer than it should. others
// is how many a share has without the runner.
func (k *keeper) lacks(listed *backend.Runner, others func(share) int) bool {
	lacking := false
	k.sharesOf(listed, func(s share) {
		bound := k.bound.Unit
		if s.unit == (backend.Unit{}) {
			bound = k.bound.Service
		}
		lacking = lacking || others(s) < bound
	})
	return lacking
}

// pass notes that a runner is not kept.
func (k *keeper) pass(listed *backend.Runner) {
	k.passed[listed.Service] = k.passed[listed.Service] || !listed.Draining
}

// takes reports whether a runner that is not kept yet is to be, beside so many others. One
// that leaves is of use to nobody new.
func (k *keeper) takes(listed *backend.Runner, others int) bool {
	if k.bound == (Bound{}) || k.all || others < k.bound.Runners {
		return true
	}
	return !listed.Draining && k.lacks(listed, func(s share) int { return k.kept[s] })
}

// spares reports whether a runner that is kept, beside so many others, need not be.
func (k *keeper) spares(listed *backend.Runner, others int) bool {
	if k.bound == (Bound{}) || k.all || listed.Draining || others < k.bound.Runners {
		return false
	}
	return !k.lacks(listed, func(s share) int { return k.kept[s] - 1 })
}

// sort puts runners in the order in which they are taken.
func (k *keeper) sort(listed []backend.Runner) {
	if k.bound == (Bound{}) || k.all {
		return
	}
	place := func(runner *backend.Runner) uint64 {
		if runner.Zone == k.zone {
			return order(runner.ID)
		}
		return rendezvous(k.seed, order(runner.ID))
	}
	slices.SortFunc(listed, func(a, b backend.Runner) int { return cmp.Compare(place(&a), place(&b)) })
}

// SetBound bounds the runners that the node of a name keeps. It is called before the fleet is
// used; without it all are kept.
func (f *Fleet) SetBound(node string, bound Bound) {
	f.keep = keeper{bound: bound, zone: f.zone, seed: order(node), passed: make(map[string]bool), kept: make(map[share]int)}
}

// KeepAll lets the fleet keep all runners that it is told of from now on, or no more than its
// bound. Those that were passed over have to be told anew: see Whole. It returns whether that
// is a change.
func (f *Fleet) KeepAll(all bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.keep.all == all {
		return false
	}
	f.keep.all = all
	f.listVersion++
	if !all {
		f.prune()
	}
	return true
}

// KeepsAll reports whether the fleet keeps all runners that it is told of.
func (f *Fleet) KeepsAll() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.keep.all
}

// SetListRevision tells the revision of changes of the list before they are applied.
func (f *Fleet) SetListRevision(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.keep.listRevision = revision
}

// admit keeps a runner that was passed over, as another node lists it. A change that this node
// took over and the other one did not yet may be that runner's end, so it is passed over then.
// mutex is held.
func (f *Fleet) admit(listed *backend.Runner, listRevision uint64) {
	if listed == nil || f.runners[listed.ID] != nil || f.incarnations[listed.Name()] != "" || listRevision < f.keep.listRevision {
		return
	}
	f.listVersion++
	f.put(*listed, nil)
}

// Whole reports whether no runner was passed over since the whole list was read.
func (f *Fleet) Whole() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replaced && len(f.keep.passed) == 0
}

// Lacks reports whether few runners of a service are left while others of it were passed over,
// so that the whole list should be read anew. Of what holds a unit the service's control holder
// tells.
func (f *Fleet) Lacks() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.keep.passed) == 0 {
		return false
	}
	left := make(map[string]int)
	for s, count := range f.keep.kept {
		if s.unit == (backend.Unit{}) {
			left[s.service] += count
		}
	}
	for service, ready := range f.keep.passed {
		if ready && left[service] < f.keep.bound.Service {
			return true
		}
	}
	return false
}

// prune drops the runners that need not be kept and that nothing is under way at. mutex is
// held.
func (f *Fleet) prune() {
	for id, known := range f.runners {
		if known.present && f.idle(known) && f.keep.spares(&known.listed, len(f.runners)-1) {
			f.drop(id)
		}
	}
}

// drop forgets a listed runner that need not be kept. mutex is held.
func (f *Fleet) drop(id string) {
	known := f.runners[id]
	f.keep.count(&known.listed, -1)
	f.keep.pass(&known.listed)
	f.forget(id)
}

// idle reports whether nothing of this node is under way at the runner, and nothing that it
// keeps of prompts is expected to be of use. mutex is held.
func (f *Fleet) idle(known *runner) bool {
	return known.inFlight == 0 && known.deferred == 0 && !known.suspect && f.now().Sub(known.answeredAt) > promptLifetime
}
