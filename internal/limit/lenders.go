package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

// maxRefusalAge bounds how long a lender's refusal is relied on without asking it again: its
// bucket refills, and other nodes may ask for less.
const maxRefusalAge = 200 * time.Millisecond

// Lenders returns the addresses of the nodes that may spend for this one, in the order in which
// to ask: those of its region first, in rotation, then the others. refusedFor is above zero if
// they refused a moment ago.
func (k *Keeper) Lenders(t *tenant.Tenant, cost float64, rank int) (addresses []string, refusedFor time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.account(t.Name)
	if left := a.refusedUntil.Sub(k.now()); left > 0 && cost >= a.refusedCost && rank >= a.refusedRank {
		return nil, left
	}
	near := min(max(a.near, 0), len(a.lenders))
	addresses = appendRotated(addresses, a.lenders[:near], a.nextLender)
	addresses = appendRotated(addresses, a.lenders[near:], a.nextLender)
	a.nextLender++
	return addresses, 0
}

// appendRotated appends a list rotated by turn.
func appendRotated(to, list []string, turn int) []string {
	for i := range list {
		to = append(to, list[(turn+i)%len(list)])
	}
	return to
}

// Refused records that the lenders cannot cover the cost at the rank before wait has passed.
func (k *Keeper) Refused(t *tenant.Tenant, cost float64, rank int, wait time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.account(t.Name)
	a.refusedUntil, a.refusedCost, a.refusedRank = k.now().Add(min(wait, maxRefusalAge)), cost, rank
}
