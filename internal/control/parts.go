package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
)

// parts splits the demand of units that requests with homes ask for by these homes, sorted.
// The result is empty if no request has homes.
func (d *demandTracker) parts(units map[backend.Unit]*scheduler.Demand, now time.Time) map[backend.Unit][]scheduler.Part {
	if len(d.withHomes) == 0 && !d.anyWaitingWithHomes() {
		return nil
	}
	demands := d.waitingParts(now)
	d.addUseWithHomes(demands, units, now)
	d.addUseWithoutHomes(demands, units)
	parts := make(map[backend.Unit][]scheduler.Part)
	for _, want := range slices.SortedFunc(maps.Keys(demands), compareWants) {
		parts[want.Unit] = append(parts[want.Unit], scheduler.Part{Homes: want.Homes, Demand: demands[want]})
	}
	maps.DeleteFunc(parts, func(_ backend.Unit, of []scheduler.Part) bool {
		return !of[len(of)-1].Homes.Restricted() && len(of) == 1
	})
	return parts
}

// anyWaitingWithHomes reports whether any request with homes was reported to wait.
func (d *demandTracker) anyWaitingWithHomes() bool {
	for _, report := range d.reports {
		if slices.ContainsFunc(report.waiting, func(w wire.UnitWaiting) bool { return len(w.Homes) > 0 }) {
			return true
		}
	}
	return false
}

// compareWants orders by unit and homes, those without homes last.
func compareWants(a, b scheduler.Want) int {
	restrictedFirst := 0
	if a.Homes.Restricted() != b.Homes.Restricted() {
		restrictedFirst = 1
		if a.Homes.Restricted() {
			restrictedFirst = -1
		}
	}
	return cmp.Or(cmp.Compare(a.Unit.String(), b.Unit.String()), restrictedFirst, cmp.Compare(a.Homes.String(), b.Homes.String()))
}

// waitingParts sums up the waiting requests by unit and homes.
func (d *demandTracker) waitingParts(now time.Time) map[scheduler.Want]*scheduler.Demand {
	demands := make(map[scheduler.Want]*scheduler.Demand)
	d.forEachWaiting(now, func(unit backend.Unit, waiting wire.UnitWaiting, left time.Duration, region place.Region) {
		addWaiting(demands, scheduler.Want{Unit: unit, Homes: place.HomesFromNames(waiting.Homes)}, waiting, left, region)
	})
	return demands
}

// addUseWithHomes adds the use by requests with homes: their share of a unit's rate and
// work, in proportion to the number of requests.
func (d *demandTracker) addUseWithHomes(demands map[scheduler.Want]*scheduler.Demand, units map[backend.Unit]*scheduler.Demand, now time.Time) {
	for want, use := range d.withHomes {
		whole := d.unitUses[want.Unit]
		if whole == nil || now.Sub(use.last) > forgetAfter {
			delete(d.withHomes, want)
			continue
		}
		use.decay(now)
		if demands[want] == nil {
			demands[want] = &scheduler.Demand{}
		}
		share := 0.0
		if whole.requests > 0 {
			share = min(use.requests/whole.requests, 1)
		}
		demand, all := demands[want], units[want.Unit]
		demand.Rate, demand.Work, demand.LastUse = share*all.Rate, share*all.Work, use.last
	}
}

// minShare is the smallest share of a unit's rate that counts; anything less is a rounding
// error.
const minShare = 1e-6

// addUseWithoutHomes assigns the rest of each unit's use to the requests without homes.
func (d *demandTracker) addUseWithoutHomes(demands map[scheduler.Want]*scheduler.Demand, units map[backend.Unit]*scheduler.Demand) {
	sums := make(map[backend.Unit]scheduler.Demand)
	for want, demand := range demands {
		if !want.Homes.Restricted() {
			continue
		}
		sum := sums[want.Unit]
		sum.Rate += demand.Rate
		sum.Work += demand.Work
		sums[want.Unit] = sum
	}
	for unit, restricted := range sums {
		unrestricted := scheduler.Want{Unit: unit}
		if demands[unrestricted] == nil {
			demands[unrestricted] = &scheduler.Demand{}
		}
		demand, all := demands[unrestricted], units[unit]
		if rest := all.Rate - restricted.Rate; rest > minShare*all.Rate {
			demand.Rate, demand.Work, demand.LastUse = rest, max(all.Work-restricted.Work, 0), all.LastUse
		}
	}
}
