package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

// longestDry bounds how long a lender's refusal is believed without asking it again:
// its bucket fills, and other nodes ask for less.
const longestDry = 200 * time.Millisecond

// Lenders returns who may spend for this node, in the order in which to ask: those of its
// region first, and of these each in turn. dry is above zero when they said a moment ago
// that they cannot.
func (k *Keeper) Lenders(t *tenant.Tenant, cost float64, rank int) (addresses []string, dry time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.account(t.Name)
	if left := a.dryUntil.Sub(k.now()); left > 0 && cost >= a.dryCost && rank >= a.dryRank {
		return nil, left
	}
	near := min(max(a.near, 0), len(a.lenders))
	addresses = appendTurned(addresses, a.lenders[:near], a.next)
	addresses = appendTurned(addresses, a.lenders[near:], a.next)
	a.next++
	return addresses, 0
}

// appendTurned appends all of a list, beginning at another one each turn.
func appendTurned(to, list []string, turn int) []string {
	for i := range list {
		to = append(to, list[(turn+i)%len(list)])
	}
	return to
}

// Refused notes that the lenders have nothing for the cost and rank until in.
func (k *Keeper) Refused(t *tenant.Tenant, cost float64, rank int, in time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.account(t.Name)
	a.dryUntil, a.dryCost, a.dryRank = k.now().Add(min(in, longestDry)), cost, rank
}
