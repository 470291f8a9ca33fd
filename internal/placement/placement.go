// Package placement decides which runners are granted a unit and which of the
// granted ones wake. It is pure: it sees only its arguments, makes no calls and
// gives the same answer for the same input.
package placement

import (
	"sort"

	"lilacvane/internal/api"
	"lilacvane/internal/rendezvous"
	"lilacvane/internal/wire"
)

// Candidate is a runner that could be granted a unit.
type Candidate struct {
	Runner      string
	Incarnation string
	Address     string
	Zone        string
	Region      string
	// MemoryMiB is the runner's size, GrantedMiB the sum of the units granted
	// on it already, which may be more.
	MemoryMiB  int64
	GrantedMiB int64
	// Tier is where the unit's checkpoint is, as far as known.
	Tier wire.Tier
	// Draining and unreachable runners are not feasible.
	Draining    bool
	Unreachable bool
}

// Demand is what is to be granted.
type Demand struct {
	Unit      string
	MemoryMiB int64
	// Count is how many runners are to be chosen.
	Count int
	// Held are the zones that hold a granted replica already, one entry each.
	Held []string
}

// Grants chooses runners for a unit: the feasible ones, ranked by zone spread,
// then checkpoint tier, then how much is granted on them, then a stable hash.
func Grants(demand Demand, candidates []Candidate) []Candidate {
	feasible := Feasible(demand.MemoryMiB, candidates)
	zones := make(map[string]int)
	for _, zone := range demand.Held {
		zones[zone]++
	}
	var chosen []Candidate
	for len(chosen) < demand.Count && len(feasible) > 0 {
		best := bestCandidate(demand.Unit, feasible, zones)
		chosen = append(chosen, feasible[best])
		zones[feasible[best].Zone]++
		feasible = append(feasible[:best], feasible[best+1:]...)
	}
	return chosen
}

// Feasible returns the candidates that could ever hold a unit of that size.
func Feasible(memoryMiB int64, candidates []Candidate) []Candidate {
	feasible := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if !candidate.Draining && !candidate.Unreachable && candidate.MemoryMiB >= memoryMiB {
			feasible = append(feasible, candidate)
		}
	}
	return feasible
}

func bestCandidate(unit string, candidates []Candidate, zones map[string]int) int {
	best := 0
	for index := range candidates {
		if ranksBefore(unit, candidates[index], candidates[best], zones) {
			best = index
		}
	}
	return best
}

func ranksBefore(unit string, left, right Candidate, zones map[string]int) bool {
	if zones[left.Zone] != zones[right.Zone] {
		return zones[left.Zone] < zones[right.Zone]
	}
	if left.Tier != right.Tier {
		return left.Tier < right.Tier
	}
	leftLoad, rightLoad := relativeLoad(left), relativeLoad(right)
	if leftLoad != rightLoad {
		return leftLoad < rightLoad
	}
	return rendezvous.Weight(unit, left.Runner) > rendezvous.Weight(unit, right.Runner)
}

// relativeLoad is what is granted in tenths of the runner's memory.
func relativeLoad(c Candidate) int64 {
	const steps = 10
	return c.GrantedMiB * steps / max(1, c.MemoryMiB)
}

// Revoke chooses which count items of a grant to take back: first those that no
// replica uses, then those in the zones that hold most.
func Revoke(items []api.GrantItem, count int, loaded func(runner string) bool) []api.GrantItem {
	zones := make(map[string]int)
	for _, item := range items {
		zones[item.Zone]++
	}
	ranked := append([]api.GrantItem(nil), items...)
	sort.SliceStable(ranked, func(i, j int) bool {
		left, right := loaded(ranked[i].Runner), loaded(ranked[j].Runner)
		if left != right {
			return !left
		}
		if zones[ranked[i].Zone] != zones[ranked[j].Zone] {
			return zones[ranked[i].Zone] > zones[ranked[j].Zone]
		}
		return ranked[i].Runner > ranked[j].Runner
	})
	return ranked[:min(count, len(ranked))]
}

// Wanted returns how many replicas should be ready: the floor, and as many as
// the waiting and running requests fill, each with slots places. At least one is
// wanted when anything waits.
func Wanted(floor, waiting, active, slots int) int {
	const targetShare = 0.8
	needed := 0
	if waiting > 0 {
		needed = 1
		capacity := max(1, int(float64(max(1, slots))*targetShare))
		needed = max(needed, (waiting+active+capacity-1)/capacity)
	}
	return max(floor, needed)
}

// Wake chooses which sleeping replicas to load so that wanted are ready or
// loading, nearest checkpoint first, then free memory, zone of demand, name.
func Wake(replicas []wire.Replica, wanted int, zone string) []wire.Replica {
	underWay := 0
	var sleeping []wire.Replica
	for _, replica := range replicas {
		switch replica.State {
		case wire.ReplicaReady, wire.ReplicaLoading:
			underWay++
		case wire.ReplicaSleeping:
			sleeping = append(sleeping, replica)
		}
	}
	sort.SliceStable(sleeping, func(i, j int) bool { return wakesBefore(sleeping[i], sleeping[j], zone) })
	count := max(0, min(wanted-underWay, len(sleeping)))
	return sleeping[:count]
}

func wakesBefore(left, right wire.Replica, zone string) bool {
	if left.Tier != right.Tier {
		return left.Tier < right.Tier
	}
	if (left.Zone == zone) != (right.Zone == zone) {
		return left.Zone == zone
	}
	if left.FreeMiB != right.FreeMiB {
		return left.FreeMiB > right.FreeMiB
	}
	return left.Runner < right.Runner
}
