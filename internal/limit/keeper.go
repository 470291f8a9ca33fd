package limit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/tenant"
)

// Keeper holds a node's shares of all limits and spends from them. Its methods may be called
// concurrently.
type Keeper struct {
	now func() time.Time

	mutex     sync.Mutex
	tolerance tenant.Tolerance
	version   Version
	// validUntil is when the shares expire.
	validUntil time.Time
	accounts   map[tenant.Name]*account
	// reserve is the node's part of each tenant's reserve. An earlier process of the node may
	// have spent from it until this one started, at began.
	reserve Part
	began   time.Time
}

// account holds this node's share of one tenant's limit.
type account struct {
	part    Part
	lenders []string
	// near is how many of the lenders are in this node's region; they come first.
	near int
	// level is the number of tokens in the bucket as of at.
	level float64
	at    time.Time
	// initialPart is the part of the bucket whose initial tokens are yet to be added.
	initialPart Part
	// requestedCost is the cost requested since the last report, requests the number of requests.
	requestedCost float64
	requests      int
	// reserveSpends lists what was spent from the reserve within the current window, oldest
	// first; reserveSpent is the sum.
	reserveSpends []reserveSpend
	reserveSpent  float64
	// refusedUntil is when to ask the lenders again for requests that cost refusedCost or more
	// and are of refusedRank or less urgent.
	refusedUntil time.Time
	refusedCost  float64
	refusedRank  int
	// nextLender is the rotation offset of the lender to ask first.
	nextLender int
}

// NewKeeper returns a keeper without shares.
func NewKeeper(tolerance tenant.Tolerance, now func() time.Time) *Keeper {
	return &Keeper{now: now, tolerance: tolerance, accounts: make(map[tenant.Name]*account), began: now()}
}

// SetTolerance changes by how much usage may exceed limits.
func (k *Keeper) SetTolerance(tolerance tenant.Tolerance) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.tolerance = tolerance
}

// RecordDemand records that a request of the cost arrived. Dividers move shares to the nodes
// with demand.
func (k *Keeper) RecordDemand(t *tenant.Tenant, cost float64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	a := k.account(t.Name)
	a.requestedCost += cost
	a.requests++
}

// account returns a tenant's account, creating it if needed. mutex is held.
func (k *Keeper) account(name tenant.Name) *account {
	a := k.accounts[name]
	if a == nil {
		a = &account{at: k.now()}
		k.accounts[name] = a
	}
	return a
}

// Forget removes the accounts of tenants that no longer exist, once nothing of them is in force.
func (k *Keeper) Forget(known func(tenant.Name) bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	maps.DeleteFunc(k.accounts, func(name tenant.Name, a *account) bool {
		return !known(name) && a.part == 0 && len(a.reserveSpends) == 0
	})
}

// Status describes a tenant's account at this node.
type Status struct {
	Tenant tenant.Name
	// Part is the node's part of the limit, 0 to 1. Level is what it may spend now, in the
	// limit's unit.
	Part  float64
	Level float64
	// Lenders are the addresses of the nodes that spend for this one.
	Lenders []string
}

// Statuses lists all accounts, sorted by tenant.
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
