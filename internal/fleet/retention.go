package fleet

import (
	"cmp"
	"slices"

	"lilacvane/internal/backend"
	"lilacvane/internal/table"
)

// A node among hundreds sends requests to few of thousands of runners. Unless it controls a
// service, it tracks only some of the runners that hold each unit and some of each service, in
// each region, from its own zone and from other zones, and skips the rest. So the state it
// keeps grows with what may be requested and not with the number of runners. The node that
// controls a service tracks all runners.
//
// All nodes of a zone track the same runners of that zone, so that a prompt which a runner has
// cached for one node serves the requests of the others. Of other zones each node tracks its
// own selection, so that together the nodes use all runners.

// Bound limits how many runners a node tracks while it controls no service.
type Bound struct {
	// Runners is how many it tracks whatever they hold.
	Runners int
	// Unit is how many runners that hold a unit it tracks beyond that, and Service how many of
	// a service: this many in its own zone and as many in all other zones together, per
	// region.
	Unit    int
	Service int
}

// DefaultBound keeps the state at 1 to 2 MB with some hundred models.
var DefaultBound = Bound{Runners: 512, Unit: 16, Service: 64}

// boundGroup is a group of runners to which a bound applies.
type boundGroup struct {
	service string
	// unit is empty for all runners of the service.
	unit   backend.Unit
	region string
	near   bool
}

// retention decides which runners are tracked. Fleet.mutex guards it.
type retention struct {
	// bound is zero if all runners are tracked.
	bound Bound
	zone  string
	// seed gives this node its own order of the runners of other zones.
	seed uint64
	// all is set while the node needs all runners. skipped holds the services of which a
	// runner was skipped since the whole list was read; the value is true if one of those was
	// not draining.
	all     bool
	skipped map[string]bool
	// tracked counts the present runners by group.
	tracked map[boundGroup]int
	// listRevision is the newest revision of the list that this node may have applied.
	listRevision table.Revision
}

// forEachGroup calls visit with each group to which a runner belongs.
func (r *retention) forEachGroup(listed *backend.Runner, visit func(boundGroup)) {
	group := boundGroup{service: listed.Service, region: listed.Region, near: listed.Zone == r.zone}
	visit(group)
	for _, holding := range listed.Models {
		group.unit = backend.Unit{Model: holding.Model}
		visit(group)
		for _, adapter := range holding.Adapters {
			group.unit.Adapter = adapter
			visit(group)
		}
	}
}

// count adds a runner to its groups or removes it. Without a bound nothing is counted.
func (r *retention) count(listed *backend.Runner, by int) {
	if r.bound == (Bound{}) {
		return
	}
	r.forEachGroup(listed, func(group boundGroup) {
		if r.tracked[group] += by; r.tracked[group] == 0 {
			delete(r.tracked, group)
		}
	})
}

// belowBound reports whether a group of the runner has fewer runners than its bound. others
// returns how many runners a group has without this one.
func (r *retention) belowBound(listed *backend.Runner, others func(boundGroup) int) bool {
	below := false
	r.forEachGroup(listed, func(group boundGroup) {
		bound := r.bound.Unit
		if group.unit == (backend.Unit{}) {
			bound = r.bound.Service
		}
		below = below || others(group) < bound
	})
	return below
}

// recordSkipped records that a runner is not tracked.
func (r *retention) recordSkipped(listed *backend.Runner) {
	r.skipped[listed.Service] = r.skipped[listed.Service] || !listed.Draining
}

// shouldTrack reports whether a runner that is not tracked yet should be, given the number of
// other tracked runners. A draining runner is of no use to new requests.
func (r *retention) shouldTrack(listed *backend.Runner, others int) bool {
	if r.bound == (Bound{}) || r.all || others < r.bound.Runners {
		return true
	}
	return !listed.Draining && r.belowBound(listed, func(group boundGroup) int { return r.tracked[group] })
}

// canDrop reports whether a tracked runner may be dropped, given the number of others.
func (r *retention) canDrop(listed *backend.Runner, others int) bool {
	if r.bound == (Bound{}) || r.all || listed.Draining || others < r.bound.Runners {
		return false
	}
	return !r.belowBound(listed, func(group boundGroup) int { return r.tracked[group] - 1 })
}

// sortByRank sorts runners by the order in which they are tracked.
func (r *retention) sortByRank(listed []backend.Runner) {
	if r.bound == (Bound{}) || r.all {
		return
	}
	rank := func(runner *backend.Runner) uint64 {
		if runner.Zone == r.zone {
			return hashID(runner.ID)
		}
		return rendezvousWeight(r.seed, hashID(runner.ID))
	}
	slices.SortFunc(listed, func(a, b backend.Runner) int { return cmp.Compare(rank(&a), rank(&b)) })
}

// SetBound limits the runners that the named node tracks. It must be called before the fleet
// is used; without it all runners are tracked.
func (f *Fleet) SetBound(node string, bound Bound) {
	f.retention = retention{bound: bound, zone: f.zone, seed: hashID(node), skipped: make(map[string]bool), tracked: make(map[boundGroup]int)}
}

// SetTrackAll sets whether the fleet tracks all runners that are listed from now on, or only as
// many as its bound allows. Runners that were skipped have to be listed again; see Complete.
// It reports whether the setting changed.
func (f *Fleet) SetTrackAll(all bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.retention.all == all {
		return false
	}
	f.retention.all = all
	f.listVersion++
	if !all {
		f.prune()
	}
	return true
}

// TracksAll reports whether the fleet tracks all runners that are listed.
func (f *Fleet) TracksAll() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.retention.all
}

// SetListRevision sets the revision of changes of the list before they are applied.
func (f *Fleet) SetListRevision(revision table.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.retention.listRevision = revision
}

// trackFromHolder tracks a skipped runner as listed by another node. If that node's list is
// older than this one's, a change that only this node has applied may be the removal of the
// runner, so the runner stays skipped. mutex must be held.
func (f *Fleet) trackFromHolder(listed *backend.Runner, listRevision table.Revision) {
	listRevision = listRevision.InEpoch(f.retention.listRevision.Epoch())
	if listed == nil || f.runners[listed.ID] != nil || f.incarnations[listed.Name()] != "" || listRevision < f.retention.listRevision {
		return
	}
	f.listVersion++
	f.upsert(*listed, nil)
}

// Complete reports whether no runner was skipped since the whole list was read.
func (f *Fleet) Complete() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listRead && len(f.retention.skipped) == 0
}

// NeedsFullList reports whether few runners of a service are left while others of it were
// skipped, so that the whole list should be read again. It ignores runners per unit, as the
// service's lease holder reports which runners hold a unit.
func (f *Fleet) NeedsFullList() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.retention.skipped) == 0 {
		return false
	}
	remaining := make(map[string]int)
	for group, count := range f.retention.tracked {
		if group.unit == (backend.Unit{}) {
			remaining[group.service] += count
		}
	}
	for service, ready := range f.retention.skipped {
		if ready && remaining[service] < f.retention.bound.Service {
			return true
		}
	}
	return false
}

// prune drops the runners that need not be tracked and are idle. mutex must be held.
func (f *Fleet) prune() {
	for id, known := range f.runners {
		if known.present && f.idle(known) && f.retention.canDrop(&known.listed, len(f.runners)-1) {
			f.drop(id)
		}
	}
}

// drop forgets a listed runner that need not be tracked. mutex must be held.
func (f *Fleet) drop(id string) {
	known := f.runners[id]
	f.retention.count(&known.listed, -1)
	f.retention.recordSkipped(&known.listed)
	f.forget(id)
}

// idle reports whether this node has nothing in flight at the runner and expects none of the
// prompts cached there to be of use. mutex must be held.
func (f *Fleet) idle(known *runner) bool {
	return known.inFlight == 0 && known.deferred == 0 && !known.suspect && f.now().Sub(known.answeredAt) > promptLifetime
}
