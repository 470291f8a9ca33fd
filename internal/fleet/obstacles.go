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

// Reason is why a runner may not take a request, or that it may: an eligible.Reason or one of
// the reasons below, which only the fleet determines.
type Reason uint8

// The fleet's own reasons. Their values lie above all values of eligible.Reason.
const (
	// UnitNotHeld means that the runner is not believed to hold the unit.
	UnitNotHeld Reason = 128 + iota
	// RunnerSilent means that the runner answers no node.
	RunnerSilent
	// AlreadyTried means that the request was already sent to the runner.
	AlreadyTried
	// OtherBuild means that the request continues a stream that another build of the runners'
	// software began.
	OtherBuild
	// NoneKnown means that no runner of the service is known.
	NoneKnown
)

// unblocked is the reason of a runner that may take a request.
const unblocked = Reason(eligible.Yes)

// String returns the reason as spelled in logs and explanations.
func (r Reason) String() string {
	switch r {
	case UnitNotHeld:
		return "not_held"
	case RunnerSilent:
		return "silent"
	case AlreadyTried:
		return "tried"
	case OtherBuild:
		return "other_build"
	case NoneKnown:
		return "none_known"
	default:
		return eligible.Reason(r).String()
	}
}

// Obstacle counts the runners of a service that may not take a request for one reason.
type Obstacle struct {
	Reason  Reason
	Runners int
	// Holding is how many of them are believed to hold the unit: without the obstacle they
	// could take the request.
	Holding int
	// Age is the longest time since this node last learned anything about one of them.
	Age time.Duration
}

// Obstacles explains why no runner may take a request, with one entry per reason. The reason
// that blocks most runners holding the unit comes first. It is empty if no runner of the
// service is known.
type Obstacles []Obstacle

// String formats the obstacles as readable text.
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

// Wire returns the obstacles as sent in explanations and logs.
func (o Obstacles) Wire() []wire.Obstacle {
	list := make([]wire.Obstacle, 0, len(o))
	for _, obstacle := range o {
		list = append(list, wire.Obstacle{
			Reason: obstacle.Reason.String(), Runners: obstacle.Runners, Holding: obstacle.Holding, AgeMs: obstacle.Age.Milliseconds(),
		})
	}
	return list
}

// MainReason is the reason that blocks most of the runners that hold the unit; UnitNotHeld if
// none holds it and at least one of the runners might load it.
func (o Obstacles) MainReason() Reason {
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
	// obstaclesLifetime is how long found obstacles are reused for requests for the same: many
	// requests for a unit that no runner holds may come at once. Runners' rows are read every
	// 200 ms at most.
	obstaclesLifetime = 200 * time.Millisecond
	// maxCachedObstacles bounds the cache: 256 units requested without success within the
	// lifetime.
	maxCachedObstacles = 256
)

// requestKey is what a request that was not sent yet needs from a runner.
type requestKey struct {
	service string
	unit    backend.Unit
	homes   place.Homes
}

type cachedObstacles struct {
	obstacles Obstacles
	at        time.Time
}

// Obstacles returns why no runner of its service may take a request, now or a moment ago. It
// examines each runner once, as a choice does, and is only called for requests that no runner
// could take.
func (f *Fleet) Obstacles(query Query) Obstacles {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(query.Exclude) > 0 {
		return f.findObstacles(query)
	}
	key := requestKey{service: query.Service, unit: query.Unit, homes: query.Homes}
	if found, ok := f.obstacles[key]; ok && f.now().Sub(found.at) < obstaclesLifetime {
		return found.obstacles
	}
	if len(f.obstacles) >= maxCachedObstacles {
		clear(f.obstacles)
	}
	found := cachedObstacles{obstacles: f.findObstacles(query), at: f.now()}
	f.obstacles[key] = found
	return found.obstacles
}

// findObstacles examines all runners. mutex must be held.
func (f *Fleet) findObstacles(query Query) Obstacles {
	// The map is bounded by the number of reasons, which are small numbers.
	found := make(map[Reason]*Obstacle)
	now := f.now()
	for _, known := range f.runners {
		reason := f.blockedBy(known, query)
		if reason == unblocked || reason == Reason(eligible.OtherService) {
			continue
		}
		obstacle := found[reason]
		if obstacle == nil {
			obstacle = &Obstacle{Reason: reason}
			found[reason] = obstacle
		}
		obstacle.Runners++
		if f.holdsQueriedUnit(known, query, reason) {
			obstacle.Holding++
		}
		obstacle.Age = max(obstacle.Age, now.Sub(lastUpdatedAt(known)))
	}
	return sortObstacles(found)
}

// holdsQueriedUnit reports whether a runner that may not take a request is believed to hold
// its unit. mutex must be held.
func (f *Fleet) holdsQueriedUnit(known *runner, query Query, reason Reason) bool {
	switch {
	case reason == UnitNotHeld:
		return false
	case query.Unit == backend.Unit{}:
		return true
	default:
		return f.holds(known, query.Unit)
	}
}

// lastUpdatedAt is when the node last learned anything about a runner: from the list, from the
// lease holder or from the runner itself. Fleet.mutex must be held.
func lastUpdatedAt(known *runner) time.Time {
	at := later(known.listedAt, known.removedAt)
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

// sortObstacles returns the obstacles, those that block most runners first.
func sortObstacles(found map[Reason]*Obstacle) Obstacles {
	obstacles := make(Obstacles, 0, len(found))
	for _, obstacle := range found {
		obstacles = append(obstacles, *obstacle)
	}
	slices.SortFunc(obstacles, func(a, b Obstacle) int {
		return cmp.Or(cmp.Compare(b.Holding, a.Holding), cmp.Compare(b.Runners, a.Runners), cmp.Compare(a.Reason, b.Reason))
	})
	return obstacles
}
