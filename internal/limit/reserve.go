package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

// reserveSpend is an amount spent from the reserve.
type reserveSpend struct {
	at   time.Time
	cost float64
}

// A request is small if it costs at most smallRequestFraction of the node's part of the reserve.
// Small requests together use at most smallTotalFraction of that part; the rest is kept for when
// no lender can be reached.
const (
	smallRequestFraction = 0.1
	smallTotalFraction   = 0.5
)

// SpendSmall takes the cost from the reserve if the request is small.
func (k *Keeper) SpendSmall(t *tenant.Tenant, cost float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a, reserve := k.reserveOf(t)
	if cost > smallRequestFraction*reserve || a.reserveSpent+cost > smallTotalFraction*reserve {
		return false
	}
	a.spendReserve(cost, k.now())
	return true
}

// SpendReserve takes the cost from the reserve. If the reserve is insufficient, wait is the time
// until it suffices, or Never.
func (k *Keeper) SpendReserve(t *tenant.Tenant, cost float64) (ok bool, wait time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a, reserve := k.reserveOf(t)
	if a.reserveSpent+cost <= reserve {
		a.spendReserve(cost, k.now())
		return true, 0
	}
	if cost > reserve {
		return false, Never
	}
	left := a.reserveSpent
	for _, spent := range a.reserveSpends {
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
	a.dropReserveSpends(now.Add(-k.tolerance.Window))
	if now.Sub(k.began) < k.tolerance.Window {
		return a, 0
	}
	return a, t.Limit.Budget(k.tolerance).Reserve * float64(k.reserve) / float64(Whole)
}

func (a *account) spendReserve(cost float64, now time.Time) {
	a.reserveSpends = append(a.reserveSpends, reserveSpend{at: now, cost: cost})
	a.reserveSpent += cost
}

// dropReserveSpends removes entries older than before.
func (a *account) dropReserveSpends(before time.Time) {
	count := 0
	for count < len(a.reserveSpends) && a.reserveSpends[count].at.Before(before) {
		a.reserveSpent -= a.reserveSpends[count].cost
		count++
	}
	if count > 0 {
		a.reserveSpends = append(a.reserveSpends[:0], a.reserveSpends[count:]...)
	}
	if len(a.reserveSpends) == 0 {
		a.reserveSpent = 0
	}
}
