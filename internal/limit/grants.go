package limit

import (
	"maps"
	"slices"
	"time"

	"lilacvane/internal/tenant"
)

// Report returns the version of the shares in force and the demand since the last report. If the
// report is not delivered, pass the demand to Restore.
func (k *Keeper) Report() (Version, []Use) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	var uses []Use
	for _, name := range slices.Sorted(maps.Keys(k.accounts)) {
		if a := k.accounts[name]; a.requestedCost > 0 {
			uses = append(uses, Use{Tenant: name, Cost: a.requestedCost, Requests: a.requests})
			a.requestedCost, a.requests = 0, 0
		}
	}
	return k.version, uses
}

// Restore adds back the demand of a report that was not delivered.
func (k *Keeper) Restore(uses []Use) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, use := range uses {
		a := k.account(use.Tenant)
		a.requestedCost += use.Cost
		a.requests += use.Requests
	}
}

// Apply applies a grant. sent is when the report that it answers was sent: a divider that loses
// contact treats the shares as unused once Lifetime has passed since its answer.
func (k *Keeper) Apply(grant Grant, sent time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	if grant.Version < k.version {
		return
	}
	switch {
	case !grant.Unchanged:
		k.setShares(grant.Shares, grant.FillInitially)
		k.reserve = grant.Reserve
	case k.version == 0:
		// The shares expired while the divider answered.
		return
	}
	k.version = grant.Version
	if until := sent.Add(Lifetime); until.After(k.validUntil) {
		k.validUntil = until
	}
}

// setShares replaces all shares. The current level is kept as far as the new share has room for
// it; a larger share fills at its own rate. fillInitially grants buckets their initial tokens.
// mutex is held.
func (k *Keeper) setShares(shares []Share, fillInitially bool) {
	byTenant := make(map[tenant.Name]Share, len(shares))
	for _, share := range shares {
		byTenant[share.Tenant] = share
		k.account(share.Tenant)
	}
	for name, a := range k.accounts {
		a.setPart(byTenant[name].Part, k.now())
		a.lenders, a.near = byTenant[name].Lenders, byTenant[name].Near
		if fillInitially {
			a.initialPart = a.part
		}
	}
}

// setPart changes the part. The time since the last refill adds no tokens: the rate of that time
// is unknown here, and fewer tokens are the safe side.
func (a *account) setPart(part Part, now time.Time) {
	if a.part == part {
		return
	}
	if a.part > 0 && part < a.part {
		a.level *= float64(part) / float64(a.part)
	}
	a.part, a.at = part, now
}

// expire drops all shares if no divider answered a report for Lifetime. mutex is held.
func (k *Keeper) expire() {
	if k.version == 0 || k.now().Before(k.validUntil) {
		return
	}
	k.version, k.reserve = 0, 0
	for _, a := range k.accounts {
		a.part, a.level, a.initialPart = 0, 0, 0
	}
}
