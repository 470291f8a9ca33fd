package fleet

import (
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// costReturning is the cost in milliseconds of a runner in a zone that was put back into
// service, for the share of requests that the zone should not get yet. Those go there only if
// no other runner holds what they need or if all others are a second slower.
const costReturning = 1_000.0

// Zones tells how decisions of operators about zones affect the choice of a runner.
type Zones interface {
	// Share is the part, 0 to 1, of its usual requests that a zone should get now: zero while
	// it is about to be taken out, and rising after it was put back.
	Share(zone place.Zone) float64
}

// zoneCost is the cost in milliseconds of a runner's zone. drawn is a random number from 0 to
// 1, the same for all runners of one choice, so that in a share of the choices only the other
// costs count.
func (f *Fleet) zoneCost(known *runner, drawn float64) float64 {
	if f.zones == nil {
		return 0
	}
	switch share := f.zones.Share(place.Zone(known.listed.Zone)); {
	case share <= 0:
		return costMissing
	case drawn >= share:
		return costReturning
	default:
		return 0
	}
}

// Refusal returns why no runner of a service in its homes may get a request, whatever it
// holds; eligible.Yes if one may, now or once it takes more. A zone that is taken out takes
// precedence over other reasons, as it is the one that operators can undo.
func (f *Fleet) Refusal(query Query) eligible.Reason {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	refusal := eligible.Gone
	for _, known := range f.runners {
		if !known.belongsTo(query.Service, query.Homes) {
			continue
		}
		switch reason := f.eligibility(known, eligible.LoadQuery{Request: request(query)}); reason {
		case eligible.Yes:
			return eligible.Yes
		case eligible.ZoneOut:
			refusal = reason
		default:
			if refusal != eligible.ZoneOut {
				refusal = reason
			}
		}
	}
	return refusal
}

// Allowed reports whether a request may still be sent to the runner that was chosen for it
// some time ago.
func (f *Fleet) Allowed(choice Choice, query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[choice.Runner.ID]
	return known != nil && query.allowsBuild(known) && f.eligibilityWith(known, request(query), f.permitted(known, choice), f.Rests(known.listed.ID)) == eligible.Yes
}

// CountIn returns the number of runners listed in a zone.
func (f *Fleet) CountIn(zone place.Zone) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, known := range f.runners {
		if known.present && place.Zone(known.listed.Zone) == zone {
			count++
		}
	}
	return count
}

// request converts a query for package eligible.
func request(query Query) eligible.Request {
	return eligible.Request{Service: query.Service, Homes: query.Homes}
}

// mayAsk reports whether a runner of a service may be asked for its load. mutex must be held.
func (f *Fleet) mayAsk(known *runner, service string, homes place.Homes) bool {
	return f.eligibility(known, eligible.LoadQuery{Request: eligible.Request{Service: service, Homes: homes}}) == eligible.Yes
}
