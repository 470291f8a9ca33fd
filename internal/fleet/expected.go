package fleet

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// plannedLifetime is how long after its time a planned load is still believed.
const plannedLifetime = time.Second

// ApplyPlanned takes over when the control holder expects the models that are
// waited for at a service and that nothing loads yet.
func (f *Fleet) ApplyPlanned(service string, planned []Coming) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	expected := make(map[homedModel]time.Time, len(planned))
	f.firm[service] = make(map[string]bool)
	for _, coming := range planned {
		if coming.Firm {
			f.firm[service][coming.Unit.Model] = true
		}
		expected[homedModel{model: coming.Unit.Model, homes: coming.Homes}] = f.now().Add(coming.In)
	}
	news := len(expected) > 0
	f.planned[service] = expected
	if news {
		f.notify()
	}
}

// Firm reports whether a model's planned load at a service cannot be sooner than expected.
func (f *Fleet) Firm(service, model string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.firm[service][model]
}

// Expected returns the shortest time until a runner of the service in the homes holds
// the unit, as far as a load is known to be under way or planned.
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
		if known.view == nil || !f.asked(known, service, homes) {
			continue
		}
		if at, coming := known.view.coming[unit]; coming {
			note(at)
		}
	}
	for planned, at := range f.planned[service] {
		if planned.model == unit.Model && planned.serves(homes) && f.now().Sub(at) < plannedLifetime {
			note(at)
		}
	}
	return shortest, found
}

// serves reports whether a planned load is of use to requests with the homes: it is
// planned for them, or they may be served anywhere.
func (m homedModel) serves(homes place.Homes) bool { return !homes.Bound() || m.homes == homes }

// LoadTime returns how long a load of a model takes at least, by where the runners
// of the service in the homes are listed to keep its weights.
func (f *Fleet) LoadTime(service string, model *config.Model, homes place.Homes) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	least := model.LoadTime
	for _, known := range f.runners {
		if !known.present || f.eligible(known, eligible.Load{Service: service, Homes: homes}) != eligible.Yes {
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

// SetOrdersIn tells when a service's control holder is expected to give orders;
// zero when it does.
func (f *Fleet) SetOrdersIn(service string, in time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ordersAt[service] = f.now().Add(in)
}

// OrdersIn is the time until a service's control holder is expected to give orders.
func (f *Fleet) OrdersIn(service string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(f.ordersAt[service].Sub(f.now()), 0)
}
