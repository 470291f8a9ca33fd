package request

import (
	"time"

	"lilacvane/internal/rendezvous"
	"lilacvane/internal/wire"
)

// target is one replica as this node sees it. Reports lag, so the node's own
// requests since the report are added to what it says.
type target struct {
	replica wire.Replica
	// inFlight counts this node's requests on the runner now, atReport at the
	// time of the report.
	inFlight int
	atReport int
	// awayUntil keeps new requests away for a while after the runner refused
	// one; what a status says of the replica meanwhile may be older than that.
	awayUntil time.Time
	// refusals counts refusals in a row.
	refusals int
}

// Pauses after refusals: the first, and the longest.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// refuse keeps new requests away, longer after each refusal in a row, and
// returns for how long.
func (t *target) refuse(now time.Time) time.Duration {
	const doublings = 6
	pause := min(longestPause, firstPause<<min(t.refusals, doublings))
	t.refusals++
	t.awayUntil = now.Add(pause)
	return pause
}

// load estimates the requests the runner has now.
func (t *target) load() int {
	return max(t.inFlight, t.replica.Active-t.atReport+t.inFlight)
}

func (t *target) usable(now time.Time) bool {
	return t.replica.State == wire.ReplicaReady && now.After(t.awayUntil) && t.load() < max(1, t.replica.Slots)
}

// affinityFactor is how much more than the average a runner may have to do and
// still be preferred because it knows the prompt's prefix.
const affinityFactor = 1.25

// choose picks a usable target: the one that prefix hashes to unless it is
// loaded well above the average, else the less loaded of two picked by the
// random numbers.
func choose(targets []*target, prefix string, first, second int) *target {
	if len(targets) == 0 {
		return nil
	}
	if preferred := preferredTarget(targets, prefix); preferred != nil {
		return preferred
	}
	left := targets[first%len(targets)]
	right := targets[second%len(targets)]
	if relative(right) < relative(left) {
		return right
	}
	return left
}

func preferredTarget(targets []*target, prefix string) *target {
	if prefix == "" {
		return nil
	}
	var preferred *target
	var bestWeight uint64
	total := 0
	for _, t := range targets {
		total += t.load()
		weight := rendezvous.Weight(prefix, t.replica.Runner)
		if preferred == nil || weight > bestWeight {
			preferred, bestWeight = t, weight
		}
	}
	average := float64(total) / float64(len(targets))
	if float64(preferred.load()) > average*affinityFactor+1 {
		return nil
	}
	return preferred
}

func relative(t *target) float64 {
	return float64(t.load()) / float64(max(1, t.replica.Slots))
}
