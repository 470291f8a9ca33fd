package fleet

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// plannedLifetime is how long a planned load is still expected after its time has passed.
const plannedLifetime = time.Second

// ApplyPlanned records when the lease holder expects the models that requests of a service
// wait for and that no runner has begun to load.
func (f *Fleet) ApplyPlanned(service string, planned []PendingUnit) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	expected := make(map[modelInHomes]time.Time, len(planned))
	f.firm[service] = make(map[string]bool)
	for _, pending := range planned {
		if pending.Firm {
			f.firm[service][pending.Unit.Model] = true
		}
		expected[modelInHomes{model: pending.Unit.Model, homes: pending.Homes}] = f.now().Add(pending.In)
	}
	wake := len(expected) > 0
	f.planned[service] = expected
	if wake {
		f.notify()
	}
}

// Firm reports whether a model's planned load at a service cannot complete any sooner.
func (f *Fleet) Firm(service, model string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.firm[service][model]
}

// Expected returns the shortest time until a runner of the service in the homes holds the
// unit; false if no load of it is known to be in progress or planned.
func (f *Fleet) Expected(service string, unit backend.Unit, homes place.Homes) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var shortest time.Duration
	found := false
	note := func(at time.Time) {
		in := max(at.Sub(f.now()), 0)
		if !found || in < shortest {
			shortest, found = in, true
		}
	}
	for _, known := range f.runners {
		if known.view == nil || !f.mayAsk(known, service, homes) {
			continue
		}
		if at, found := known.view.pending[unit]; found {
			note(at)
		}
	}
	for planned, at := range f.planned[service] {
		if planned.model == unit.Model && planned.appliesTo(homes) && f.now().Sub(at) < plannedLifetime {
			note(at)
		}
	}
	return shortest, found
}

// appliesTo reports whether a planned load is of use to requests with the homes: it is planned
// for those homes, or the requests may be served anywhere.
func (m modelInHomes) appliesTo(homes place.Homes) bool {
	return !homes.Restricted() || m.homes == homes
}

// LoadTime returns the least time that a load of a model takes, given where the runners of the
// service in the homes are listed to have a copy of its weights.
func (f *Fleet) LoadTime(service string, model *config.Model, homes place.Homes) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	least := model.LoadTime
	for _, known := range f.runners {
		if !known.present || f.eligibility(known, eligible.Load{Service: service, Homes: homes}) != eligible.Yes {
			continue
		}
		switch copies := known.listed.Copies; {
		case model.HostLoadTime > 0 && slices.Contains(copies.Host, model.Name):
			least = min(least, model.HostLoadTime)
		case model.DiskLoadTime > 0 && slices.Contains(copies.Disk, model.Name):
			least = min(least, model.DiskLoadTime)
		}
	}
	return least
}

// SetOrdersIn sets the time until a service's lease holder is expected to give orders; zero
// if it already does.
func (f *Fleet) SetOrdersIn(service string, in time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ordersAt[service] = f.now().Add(in)
}

// OrdersIn returns the time until a service's lease holder is expected to give orders.
func (f *Fleet) OrdersIn(service string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(f.ordersAt[service].Sub(f.now()), 0)
}
