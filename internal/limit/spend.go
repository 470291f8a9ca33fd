package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

const (
	// rankFloor is the part of a bucket that a request leaves to more urgent ones of its
	// tenant, for each rank that it stands behind the first: where a tenant asks for more
	// than its limit, what it holds urgent is served first.
	rankFloor = 0.15
	// highestRank bounds the ranks that are told apart.
	highestRank = 4
	// cheapPart is the part of a bucket up to which a request leaves nothing: it takes next
	// to nothing from the others.
	cheapPart = 0.01
)

// needed is the level at which a request of the rank is let through.
func needed(cost float64, rank int, capacity float64) float64 {
	if cost <= cheapPart*capacity {
		return cost
	}
	floor := float64(min(max(rank, 0), highestRank)) * rankFloor * capacity
	return max(cost, min(cost+floor, capacity))
}

// Spend takes the cost from this node's share for a request of a rank, 0 the most urgent.
// Where that does not suffice, in is the time until it does if nothing else is spent,
// Never when it cannot.
func (k *Keeper) Spend(t *tenant.Tenant, cost float64, rank int) (ok bool, in time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if in = k.untilEnough(t, cost, rank); in > 0 {
		return false, in
	}
	a := k.account(t.Name)
	a.level -= cost
	return true, 0
}

// Holds is the most that this node's share of a bucket ever holds.
func (k *Keeper) Holds(t *tenant.Tenant) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	return k.account(t.Name).capacity(t.Limit.Budget(k.tolerance).Bucket)
}

// UntilEnough is the time until Spend would take the cost; zero when it would now.
func (k *Keeper) UntilEnough(t *tenant.Tenant, cost float64, rank int) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.untilEnough(t, cost, rank)
}

// untilEnough is UntilEnough; mutex is held.
func (k *Keeper) untilEnough(t *tenant.Tenant, cost float64, rank int) time.Duration {
	k.expire()
	a := k.account(t.Name)
	budget := t.Limit.Budget(k.tolerance)
	capacity := a.capacity(budget.Bucket)
	rate := k.refill(a, budget.Bucket, budget.Start)
	level := needed(cost, rank, capacity)
	switch {
	case level <= a.level:
		return 0
	case cost > capacity || rate <= 0:
		return Never
	default:
		return max(time.Duration((level-a.level)/rate*float64(time.Second)), time.Nanosecond)
	}
}

// Never is the time until something that cannot be.
const Never = 24 * time.Hour

// Fits reports whether the whole of a limit's bucket is ever enough for the cost.
func (k *Keeper) Fits(t *tenant.Tenant, cost float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	bucket := t.Limit.Budget(k.tolerance).Bucket
	return cost <= bucket.Capacity
}

// refill brings an account's level up to date and returns its rate; start is what the
// whole bucket may begin with. mutex is held.
func (k *Keeper) refill(a *account, bucket tenant.Bucket, start float64) (rate float64) {
	now := k.now()
	rate = bucket.Rate * float64(a.part) / float64(Whole)
	a.level += start * float64(a.startPart) / float64(Whole)
	a.startPart = 0
	a.level = min(a.level+rate*now.Sub(a.at).Seconds(), a.capacity(bucket))
	a.at = now
	return rate
}

func (a *account) capacity(bucket tenant.Bucket) float64 {
	return bucket.Capacity * float64(a.part) / float64(Whole)
}
