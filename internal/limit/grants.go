package limit

import (
	"maps"
	"slices"
	"time"

	"lilacvane/internal/tenant"
)

// Report returns what was asked since the last report, and the version of the shares in
// force. Restore gives it back when the report was not delivered.
func (k *Keeper) Report() (Version, []Use) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	var uses []Use
	for _, name := range slices.Sorted(maps.Keys(k.accounts)) {
		if a := k.accounts[name]; a.asked > 0 {
			uses = append(uses, Use{Tenant: name, Cost: a.asked, Requests: a.requests})
			a.asked, a.requests = 0, 0
		}
	}
	return k.version, uses
}

// Restore takes back what a report that was not delivered told.
func (k *Keeper) Restore(uses []Use) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, use := range uses {
		a := k.account(use.Tenant)
		a.asked += use.Cost
		a.requests += use.Requests
	}
}

// Apply takes over a grant. sent is when the report was sent that it answers: a divider
// that lost touch since counts the shares as unused from Lifetime after its answer on.
func (k *Keeper) Apply(grant Grant, sent time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	if grant.Version < k.version {
		return
	}
	switch {
	case !grant.Same:
		k.setShares(grant.Shares, grant.Start)
		k.reserve = grant.Reserve
	case k.version == 0:
		// They expired while the divider answered.
		return
	}
	k.version = grant.Version
	if until := sent.Add(Lifetime); until.After(k.validUntil) {
		k.validUntil = until
	}
}

// setShares replaces all shares. What is at hand stays, as far as the new share holds
// it; a larger share fills by its rate. start lets them begin with something. mutex is
// held.
func (k *Keeper) setShares(shares []Share, start bool) {
	told := make(map[tenant.Name]Share, len(shares))
	for _, share := range shares {
		told[share.Tenant] = share
		k.account(share.Tenant)
	}
	for name, a := range k.accounts {
		a.nextPart(told[name].Part, k.now())
		a.lenders, a.near = told[name].Lenders, told[name].Near
		if start {
			a.startPart = a.part
		}
	}
}

// nextPart changes the part. Nothing is filled up for the time before: the rate of that
// time is not known here, and less is on the safe side.
func (a *account) nextPart(part Part, now time.Time) {
	if a.part == part {
		return
	}
	if a.part > 0 && part < a.part {
		a.level *= float64(part) / float64(a.part)
	}
	a.part, a.at = part, now
}

// expire drops the shares when no divider was heard for too long. mutex is held.
func (k *Keeper) expire() {
	if k.version == 0 || k.now().Before(k.validUntil) {
		return
	}
	k.version, k.reserve = 0, 0
	for _, a := range k.accounts {
		a.part, a.level, a.startPart = 0, 0, 0
	}
}
