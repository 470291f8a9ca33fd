package limit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/tenant"
)

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
