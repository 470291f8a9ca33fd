package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
	"lilacvane/internal/wire"
)

// Reason says why a runner may not take a request, or that it may: an eligible.Reason, or
// one of those below, which only the fleet knows.
type Reason uint8

// The reasons of the fleet's own. They lie beyond all of package eligible.
const (
	// UnitNotHeld means that the runner is not believed to hold the unit.
	UnitNotHeld Reason = 128 + iota
	// RunnerSilent means that the runner answers nobody.
	RunnerSilent
	// AlreadyTried means that the request was sent there before.
	AlreadyTried
	// NoneKnown means that no runner of the service is known.
	NoneKnown
)

// unhindered is the reason of a runner that may take a request.
const unhindered = Reason(eligible.Yes)

// String names the reason as logs and explanations spell it.
func (r Reason) String() string {
	switch r {
	case UnitNotHeld:
		return "not_held"
	case RunnerSilent:
		return "silent"
	case AlreadyTried:
		return "tried"
	case NoneKnown:
		return "none_known"
	default:
		return eligible.Reason(r).String()
	}
}

// Obstacle tells how many runners of a service may not take a request for one reason.
type Obstacle struct {
	Reason  Reason
	Runners int
	// Holding is how many of them are believed to hold the unit: without the obstacle
	// they could take the request.
	Holding int
	// Age is how long ago this node last heard of the runner that it heard of longest ago.
	Age time.Duration
}

// Obstacles are why no runner may take a request, one entry a reason, that which keeps most
// runners with the unit away first. They are empty when no runner of the service is known.
type Obstacles []Obstacle

// String lists the obstacles for people.
func (o Obstacles) String() string {
	if len(o) == 0 {
		return NoneKnown.String()
	}
	parts := make([]string, 0, len(o))
	for _, obstacle := range o {
		parts = append(parts, fmt.Sprintf("%d %s, %d of them hold it, heard of within %s",
			obstacle.Runners, obstacle.Reason, obstacle.Holding, obstacle.Age.Round(time.Millisecond)))
	}
	return strings.Join(parts, "; ")
}

// Wire lists the obstacles as explanations and logs carry them.
func (o Obstacles) Wire() []wire.Obstacle {
	list := make([]wire.Obstacle, 0, len(o))
	for _, obstacle := range o {
		list = append(list, wire.Obstacle{
			Reason: obstacle.Reason.String(), Runners: obstacle.Runners, Holding: obstacle.Holding, AgeMs: obstacle.Age.Milliseconds(),
		})
	}
	return list
}

// Main is the obstacle that keeps most of the runners that hold the unit from the request;
// UnitNotHeld where none holds it and one of them might be loaded with it.
func (o Obstacles) Main() Reason {
	switch {
	case len(o) == 0:
		return NoneKnown
	case o[0].Holding == 0 && slices.ContainsFunc(o, func(obstacle Obstacle) bool { return obstacle.Reason == UnitNotHeld }):
		return UnitNotHeld
	default:
		return o[0].Reason
	}
}

const (
	// obstaclesLifetime is how long obstacles stand for further requests that ask for the
	// same: many requests for a unit that nobody holds come at once. Runners' rows are read
	// every 200 ms at most.
	obstaclesLifetime = 200 * time.Millisecond
	// obstaclesKept bounds them: 256 units asked for in vain within that time.
	obstaclesKept = 256
)

// asked is what a request that was not sent yet asks a runner for.
type asked struct {
	service string
	unit    backend.Unit
	homes   place.Homes
}

type foundObstacles struct {
	obstacles Obstacles
	at        time.Time
}

// Obstacles tells why no runner of its service may take a request now, or a moment ago. It
// looks at each runner once, as a choice does; it is asked only for requests that no runner
// could take.
func (f *Fleet) Obstacles(query Query) Obstacles {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(query.Exclude) > 0 {
		return f.findObstacles(query)
	}
	key := asked{service: query.Service, unit: query.Unit, homes: query.Homes}
	if found, known := f.obstacles[key]; known && f.now().Sub(found.at) < obstaclesLifetime {
		return found.obstacles
	}
	if len(f.obstacles) >= obstaclesKept {
		clear(f.obstacles)
	}
	found := foundObstacles{obstacles: f.findObstacles(query), at: f.now()}
	f.obstacles[key] = found
	return found.obstacles
}

// findObstacles looks at all runners. mutex is held.
func (f *Fleet) findObstacles(query Query) Obstacles {
	// A reason is a small number: the bound on entries is the number of reasons.
	found := make(map[Reason]*Obstacle)
	now := f.now()
	for _, known := range f.runners {
		reason := f.hinders(known, query)
		if reason == unhindered || reason == Reason(eligible.OtherService) {
			continue
		}
		obstacle := found[reason]
		if obstacle == nil {
			obstacle = &Obstacle{Reason: reason}
			found[reason] = obstacle
		}
		obstacle.Runners++
		if f.wouldServe(known, query, reason) {
			obstacle.Holding++
		}
		obstacle.Age = max(obstacle.Age, now.Sub(heardAt(known)))
	}
	return sorted(found)
}

// wouldServe reports whether a runner that is kept from a request is believed to hold its
// unit. mutex is held.
func (f *Fleet) wouldServe(known *runner, query Query, reason Reason) bool {
	switch {
	case reason == UnitNotHeld:
		return false
	case query.Unit == backend.Unit{}:
		return true
	default:
		return f.holds(known, query.Unit)
	}
}

// heardAt is when the node last heard of a runner: from the list, from the control holder
// or from the runner itself. Fleet.mutex is held.
func heardAt(known *runner) time.Time {
	at := later(known.listedAt, known.goneAt)
	if known.view != nil {
		at = later(at, known.view.at)
	}
	return later(at, known.answeredAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sorted lists obstacles, those that keep most runners away first.
func sorted(found map[Reason]*Obstacle) Obstacles {
	obstacles := make(Obstacles, 0, len(found))
	for _, obstacle := range found {
		obstacles = append(obstacles, *obstacle)
	}
	slices.SortFunc(obstacles, func(a, b Obstacle) int {
		return cmp.Or(cmp.Compare(b.Holding, a.Holding), cmp.Compare(b.Runners, a.Runners), cmp.Compare(a.Reason, b.Reason))
	})
	return obstacles
}
