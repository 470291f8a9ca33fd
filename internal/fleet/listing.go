package fleet

import (
	"lilacvane/internal/backend"
)

// Apply takes over a change of the platform's list. With doubtful set, the
// runners removed stay as a last choice for a while.
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
	f.sweep()
	f.notify()
}

// Replace takes over the whole list. Runners that are not in it have left; with
// doubtful set they stay as a last choice for a while, as the list was read
// after a time without the platform.
func (f *Fleet) Replace(listed []backend.Runner, doubtful bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	there := make(map[string]bool, len(listed))
	for _, runner := range listed {
		there[runner.ID] = true
	}
	for id, known := range f.runners {
		if known.present && !there[id] {
			f.remove(id, doubtful)
		}
	}
	f.listVersion++
	clear(f.keep.passed)
	f.keep.sort(listed)
	for _, runner := range listed {
		f.add(runner)
	}
	f.replaced = true
	f.sweep()
	f.notify()
}

// add takes over what the list tells of a runner, unless it is passed over.
func (f *Fleet) add(listed backend.Runner) {
	f.endEarlier(listed)
	known := f.runners[listed.ID]
	came := known == nil
	if came && !f.keep.takes(&listed, len(f.runners)) {
		f.keep.pass(&listed)
		return
	}
	f.put(listed, known)
	if !came && f.idle(known) && f.keep.spares(&listed, len(f.runners)-1) {
		f.drop(listed.ID)
	}
}

// put keeps what the list tells of a runner; known is nil for one that was not kept. mutex is
// held.
func (f *Fleet) put(listed backend.Runner, known *runner) {
	came := known == nil
	if came {
		known = &runner{order: order(listed.ID)}
		f.runners[listed.ID] = known
	}
	f.incarnations[listed.Name()] = listed.ID
	f.hearCold(known, listed, came)
	if known.present {
		f.keep.count(&known.listed, -1)
	}
	f.keep.count(&listed, 1)
	delete(f.gone, listed.ID)
	known.listed = listed
	known.listedAt = f.now()
	known.present = true
	known.units = unitsOf(listed.Models)
}

// endEarlier takes out the incarnation of a runner before the one that is listed now.
func (f *Fleet) endEarlier(listed backend.Runner) {
	if before := f.runners[f.incarnations[listed.Name()]]; before != nil && before.listed.ID != listed.ID {
		f.remove(before.listed.ID, false)
		before.listed.Missing = false
	}
}

// remove takes a runner out. While requests are under way at it, its entry
// stays until the last one has ended.
func (f *Fleet) remove(id string, doubtful bool) {
	known := f.runners[id]
	if known == nil || !known.present {
		return
	}
	f.keep.count(&known.listed, -1)
	known.present = false
	known.goneAt = f.now()
	known.listed.Missing = doubtful
	f.gone[id] = known
}

// sweep forgets runners that left and have no request under way.
func (f *Fleet) sweep() {
	for id, known := range f.gone {
		expired := !known.listed.Missing || f.now().Sub(known.goneAt) > missingLifetime
		if known.inFlight == 0 && expired {
			f.forget(id)
			f.noteLeft(id)
		}
	}
}

// forget drops what is known of a runner. mutex is held.
func (f *Fleet) forget(id string) {
	name := f.runners[id].listed.Name()
	delete(f.runners, id)
	delete(f.gone, id)
	if f.incarnations[name] == id {
		delete(f.incarnations, name)
	}
}
