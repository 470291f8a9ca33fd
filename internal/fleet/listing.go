package fleet

import (
	"lilacvane/internal/backend"
)

// Apply applies a change of the platform's list. If doubtful is set, removed runners are kept
// as a last resort for a while.
func (f *Fleet) Apply(changed []backend.Runner, removed []string, doubtful bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listVersion++
	for _, listed := range changed {
		f.add(listed)
	}
	for _, id := range removed {
		f.remove(id, doubtful)
	}
	f.forgetDeparted()
	f.notify()
}

// Replace applies the whole list; runners that are not in it have left. If doubtful is set, as
// after the platform could not be reached for a time, those are kept as a last resort for a
// while.
func (f *Fleet) Replace(listed []backend.Runner, doubtful bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	present := make(map[string]bool, len(listed))
	for _, runner := range listed {
		present[runner.ID] = true
	}
	for id, known := range f.runners {
		if known.present && !present[id] {
			f.remove(id, doubtful)
		}
	}
	f.listVersion++
	clear(f.retention.skipped)
	f.retention.sortByRank(listed)
	for _, runner := range listed {
		f.add(runner)
	}
	f.listRead = true
	f.forgetDeparted()
	f.notify()
}

// add applies the list entry of a runner, unless the runner is skipped.
func (f *Fleet) add(listed backend.Runner) {
	f.removeEarlierIncarnation(listed)
	known := f.runners[listed.ID]
	isNew := known == nil
	if isNew && !f.retention.shouldTrack(&listed, len(f.runners)) {
		f.retention.recordSkipped(&listed)
		return
	}
	if !isNew {
		keepDraining(&listed, &known.listed)
	}
	f.upsert(listed, known)
	if !isNew && f.idle(known) && f.retention.canDrop(&listed, len(f.runners)-1) {
		f.drop(listed.ID)
	}
}

// upsert stores the list entry of a runner; known is nil for a runner that was not tracked.
// mutex must be held.
func (f *Fleet) upsert(listed backend.Runner, known *runner) {
	isNew := known == nil
	if isNew {
		known = &runner{hash: hashID(listed.ID)}
		f.runners[listed.ID] = known
	}
	f.incarnations[listed.Name()] = listed.ID
	f.recordColdState(known, listed, isNew)
	if known.present {
		f.retention.count(&known.listed, -1)
	}
	f.retention.count(&listed, 1)
	delete(f.departed, listed.ID)
	known.listed = listed
	known.listedAt = f.now()
	known.present = true
	known.units = unitsOf(listed.Models)
}

// removeEarlierIncarnation removes the incarnation before the one that is listed now.
func (f *Fleet) removeEarlierIncarnation(listed backend.Runner) {
	if before := f.runners[f.incarnations[listed.Name()]]; before != nil && before.listed.ID != listed.ID {
		f.remove(before.listed.ID, false)
		before.listed.Missing = false
	}
}

// Outdated reports whether an entry of a restored list contradicts what this node knew: the incarnation
// has left, or a later one was listed.
func (f *Fleet) Outdated(listed backend.Runner) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[listed.ID]; known != nil {
		return !known.present && !known.listed.Missing
	}
	later := f.runners[f.incarnations[listed.Name()]]
	return f.departures[listed.ID].left || later != nil && later.listed.Born > listed.Born
}

// Names returns the names of the listed runners.
func (f *Fleet) Names() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := make([]string, 0, len(f.runners))
	for _, known := range f.runners {
		if known.present {
			names = append(names, known.listed.Name())
		}
	}
	return names
}

// remove removes a runner from the list. Its entry stays until the last request in flight
// there has ended.
func (f *Fleet) remove(id string, doubtful bool) {
	known := f.runners[id]
	if known == nil || !known.present {
		return
	}
	f.retention.count(&known.listed, -1)
	known.present = false
	known.removedAt = f.now()
	known.listed.Missing = doubtful
	f.departed[id] = known
}

// forgetDeparted forgets runners that left the list and have no requests in flight.
func (f *Fleet) forgetDeparted() {
	for id, known := range f.departed {
		expired := !known.listed.Missing || f.now().Sub(known.removedAt) > missingLifetime
		if known.inFlight == 0 && expired {
			f.forget(id)
			f.recordDeparture(id, !known.listed.Missing)
		}
	}
}

// forget deletes everything known of a runner. mutex must be held.
func (f *Fleet) forget(id string) {
	name := f.runners[id].listed.Name()
	delete(f.runners, id)
	delete(f.departed, id)
	if f.incarnations[name] == id {
		delete(f.incarnations, name)
	}
}
