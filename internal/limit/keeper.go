package limit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/tenant"
)

// longestDry bounds how long a lender's refusal is believed without asking it again:
// its bucket fills, and other nodes ask for less.
const longestDry = 200 * time.Millisecond

// Keeper is a node's side of the limits. Its methods may be called concurrently.
type Keeper struct {
	now func() time.Time

	mutex     sync.Mutex
	tolerance tenant.Tolerance
	version   Version
	// validUntil is until when the shares are in force.
	validUntil time.Time
	accounts   map[tenant.Name]*account
	// reserve is the node's part of each tenant's reserve. An earlier process may have
	// spent it until this one began.
	reserve Part
	began   time.Time
}

// account is this node's part of one tenant's limit.
type account struct {
	part    Part
	lenders []string
	// near is how many of the lenders, the first ones, lie in this node's region.
	near int
	// level is what may be spent, as of at.
	level float64
	at    time.Time
	// startPart is the part by which the bucket is still to be given what it begins with.
	startPart Part
	// asked is what was asked since the last report, by so many requests.
	asked    float64
	requests int
	// taken is what was spent of the reserve within a window, oldest first, takenSum the
	// sum of it.
	taken    []taken
	takenSum float64
	// dryUntil is until when the lenders have nothing for requests of dryCost and dryRank,
	// and for larger and less urgent ones.
	dryUntil time.Time
	dryCost  float64
	dryRank  int
	// next is the lender that is asked first next time.
	next int
}

// taken is one spending of the reserve.
type taken struct {
	at   time.Time
	cost float64
}

// NewKeeper returns a keeper without any share.
func NewKeeper(tolerance tenant.Tolerance, now func() time.Time) *Keeper {
	return &Keeper{now: now, tolerance: tolerance, accounts: make(map[tenant.Name]*account), began: now()}
}

// SetTolerance changes by how much use may pass limits.
func (k *Keeper) SetTolerance(tolerance tenant.Tolerance) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.tolerance = tolerance
}

// Ask notes that a request of the cost was asked for; it moves shares to this node.
func (k *Keeper) Ask(t *tenant.Tenant, cost float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.account(t.Name)
	a.asked += cost
	a.requests++
}

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

// Fits reports whether the whole of a limit's bucket is ever enough for the cost.
func (k *Keeper) Fits(t *tenant.Tenant, cost float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	bucket := t.Limit.Budget(k.tolerance).Bucket
	return cost <= bucket.Capacity
}

// Lenders returns who may spend for this node, in the order in which to ask: those of its
// region first, and of these each in turn. dry is above zero when they said a moment ago that they cannot.
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

// account returns a tenant's account. mutex is held.
func (k *Keeper) account(name tenant.Name) *account {
	a := k.accounts[name]
	if a == nil {
		a = &account{at: k.now()}
		k.accounts[name] = a
	}
	return a
}

// Forget drops the accounts of tenants that are no more, once nothing of them is in force.
func (k *Keeper) Forget(known func(tenant.Name) bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	maps.DeleteFunc(k.accounts, func(name tenant.Name, a *account) bool {
		return !known(name) && a.part == 0 && len(a.taken) == 0
	})
}

// Status is a tenant's account at this node.
type Status struct {
	Tenant tenant.Name
	// Part is the node's part, 0 to 1, Level what it may spend now, in the limit's unit.
	Part  float64
	Level float64
	// Lenders are who spends for the node.
	Lenders []string
}

// Statuses lists the accounts by tenant.
func (k *Keeper) Statuses() []Status {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.expire()
	list := make([]Status, 0, len(k.accounts))
	for _, name := range slices.Sorted(maps.Keys(k.accounts)) {
		a := k.accounts[name]
		list = append(list, Status{Tenant: name, Part: float64(a.part) / float64(Whole), Level: a.level, Lenders: a.lenders})
	}
	return list
}
