package fleet

import (
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// costReturning is the cost in milliseconds of a runner in a zone that was taken back, for
// the part of the requests that the zone is not to be given yet: they go there when
// nobody else holds what they need, or when all others are a second behind.
const costReturning = 1_000.0

// Zones tells what operators' decisions about zones weigh where there is a choice.
type Zones interface {
	// Share is the part, 0 to 1, of what a zone would be given that it is to be given now:
	// nothing while it is about to be left, rising after it was taken back.
	Share(zone place.Zone) float64
}

// zoneCost is the cost in milliseconds of a runner's zone. drawn, 0 to 1, is the same for
// all runners of one choice, so that a share of the choices goes by the others' costs.
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

// Refusal says why no runner of a service in its homes may get a request, whatever it holds;
// eligible.Yes when one may, now or once it takes more. A zone that is out goes before
// other reasons, as it is what may be undone.
func (f *Fleet) Refusal(query Query) eligible.Reason {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	refusal := eligible.Gone
	for _, known := range f.runners {
		if !known.serves(query.Service, query.Homes) {
			continue
		}
		switch reason := f.eligible(known, eligible.Question{Request: request(query)}); reason {
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

// Allowed reports whether a request may still be sent to the runner that was chosen for
// it some time ago.
func (f *Fleet) Allowed(choice Choice, query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[choice.Runner.ID]
	return known != nil && f.check(known, request(query), f.permitted(known, choice), f.Rests(known.listed.ID)) == eligible.Yes
}

// CountIn returns how many runners are listed in a zone.
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

// request is what a query asks of eligible.
func request(query Query) eligible.Request {
	return eligible.Request{Service: query.Service, Homes: query.Homes}
}

// asked reports whether a runner of a service may be asked for anything. mutex is held.
func (f *Fleet) asked(known *runner, service string, homes place.Homes) bool {
	return f.eligible(known, eligible.Question{Request: eligible.Request{Service: service, Homes: homes}}) == eligible.Yes
}
