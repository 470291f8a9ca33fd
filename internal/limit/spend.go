package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

const (
	// floorPerRank is the fraction of a bucket that a request leaves to more urgent requests of
	// its tenant, per rank below the most urgent one. If a tenant requests more than its limit,
	// its urgent requests are served first.
	floorPerRank = 0.15
	// maxRank is the highest rank that is distinguished.
	maxRank = 4
	// cheapFraction is the fraction of a bucket up to which a request is exempt from leaving a
	// floor: it takes next to nothing from the others.
	cheapFraction = 0.01
)

// requiredLevel is the bucket level at which a request of the rank is admitted.
func requiredLevel(cost float64, rank int, capacity float64) float64 {
	if cost <= cheapFraction*capacity {
		return cost
	}
	floor := float64(min(max(rank, 0), maxRank)) * floorPerRank * capacity
	return max(cost, min(cost+floor, capacity))
}

// Spend takes the cost from this node's share for a request of the rank, 0 being the most
// urgent. If the share is insufficient, wait is the time until it suffices if nothing else is
// spent, or Never.
func (k *Keeper) Spend(t *tenant.Tenant, cost float64, rank int) (ok bool, wait time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if wait = k.untilEnough(t, cost, rank); wait > 0 {
		return false, wait
	}
	a := k.account(t.Name)
	a.level -= cost
	return true, 0
}

// Capacity returns the most that this node's share of a tenant's bucket can hold.
func (k *Keeper) Capacity(t *tenant.Tenant) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	return k.account(t.Name).capacity(t.Limit.Budget(k.tolerance).Bucket)
}

// UntilEnough returns the time until Spend would succeed; zero if it would now.
func (k *Keeper) UntilEnough(t *tenant.Tenant, cost float64, rank int) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.untilEnough(t, cost, rank)
}

// untilEnough implements UntilEnough. mutex is held.
func (k *Keeper) untilEnough(t *tenant.Tenant, cost float64, rank int) time.Duration {
	k.expire()
	a := k.account(t.Name)
	budget := t.Limit.Budget(k.tolerance)
	capacity := a.capacity(budget.Bucket)
	rate := k.refill(a, budget.Bucket, budget.Start)
	level := requiredLevel(cost, rank, capacity)
	switch {
	case level <= a.level:
		return 0
	case cost > capacity || rate <= 0:
		return Never
	default:
		return max(time.Duration((level-a.level)/rate*float64(time.Second)), time.Nanosecond)
	}
}

// Never is the wait for something that cannot happen.
const Never = 24 * time.Hour

// Fits reports whether the cost is within the capacity of the limit's whole bucket.
func (k *Keeper) Fits(t *tenant.Tenant, cost float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	bucket := t.Limit.Budget(k.tolerance).Bucket
	return cost <= bucket.Capacity
}

// refill brings an account's level up to date and returns its rate. start is the number of
// initial tokens of the whole bucket. mutex is held.
func (k *Keeper) refill(a *account, bucket tenant.Bucket, start float64) (rate float64) {
	now := k.now()
	rate = bucket.Rate * float64(a.part) / float64(Whole)
	a.level += start * float64(a.initialPart) / float64(Whole)
	a.initialPart = 0
	a.level = min(a.level+rate*now.Sub(a.at).Seconds(), a.capacity(bucket))
	a.at = now
	return rate
}

func (a *account) capacity(bucket tenant.Bucket) float64 {
	return bucket.Capacity * float64(a.part) / float64(Whole)
}
