package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

// taken is one spending of the reserve.
type taken struct {
	at   time.Time
	cost float64
}

// smallPart is the part of a node's reserve up to which a request is small: small ones
// together leave half of the reserve for when the lenders cannot be asked.
const (
	smallPart  = 0.1
	smallLimit = 0.5
)

// SpendSmall takes the cost of a small request from the reserve.
func (k *Keeper) SpendSmall(t *tenant.Tenant, cost float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a, reserve := k.reserveOf(t)
	if cost > smallPart*reserve || a.takenSum+cost > smallLimit*reserve {
		return false
	}
	a.take(cost, k.now())
	return true
}

// SpendReserve takes the cost from the reserve. Where that does not suffice, in is the
// time until it does, Never when it cannot.
func (k *Keeper) SpendReserve(t *tenant.Tenant, cost float64) (ok bool, in time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a, reserve := k.reserveOf(t)
	if a.takenSum+cost <= reserve {
		a.take(cost, k.now())
		return true, 0
	}
	if cost > reserve {
		return false, Never
	}
	left := a.takenSum
	for _, spent := range a.taken {
		if left -= spent.cost; left+cost <= reserve {
			return false, spent.at.Add(k.tolerance.Window).Sub(k.now())
		}
	}
	return false, Never
}

// reserveOf returns a tenant's account and this node's part of its reserve. mutex is held.
func (k *Keeper) reserveOf(t *tenant.Tenant) (*account, float64) {
	k.expire()
	a := k.account(t.Name)
	now := k.now()
	a.forget(now.Add(-k.tolerance.Window))
	if now.Sub(k.began) < k.tolerance.Window {
		return a, 0
	}
	return a, t.Limit.Budget(k.tolerance).Reserve * float64(k.reserve) / float64(Whole)
}

func (a *account) take(cost float64, now time.Time) {
	a.taken = append(a.taken, taken{at: now, cost: cost})
	a.takenSum += cost
}

// forget drops what was spent of the reserve before a moment.
func (a *account) forget(before time.Time) {
	count := 0
	for count < len(a.taken) && a.taken[count].at.Before(before) {
		a.takenSum -= a.taken[count].cost
		count++
	}
	if count > 0 {
		a.taken = append(a.taken[:0], a.taken[count:]...)
	}
	if len(a.taken) == 0 {
		a.takenSum = 0
	}
}
