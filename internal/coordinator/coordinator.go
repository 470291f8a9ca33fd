// Package coordinator decides for each unit how many of its granted replicas
// wake and where. A unit has one coordinator, a node chosen by rendezvous hashing
// over the living ones; parts of the fleet that lost each other have one each.
// What a coordinator knows is soft state: two of them at
// once, or none for a while, cost time but break nothing, because runners load
// only within committed grants.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/decision"
	"lilacvane/internal/fault"
	"lilacvane/internal/grants"
	"lilacvane/internal/machines"
	"lilacvane/internal/membership"
	"lilacvane/internal/peer"
	"lilacvane/internal/policy"
	"lilacvane/internal/rendezvous"
	"lilacvane/internal/runner"
	"lilacvane/internal/sleep"
	"lilacvane/internal/wire"
)

const (
	methodDemand = "demand"
	// MethodStatus is the push of a UnitStatus to a node that reported demand.
	MethodStatus    = "status"
	unitKey         = "unit/"
	ownerTimeout    = time.Second
	pushTimeout     = time.Second
	reporterExpires = 30 * time.Second
	waitingExpires  = 2 * time.Second
	statusExpires   = 10 * time.Second
	busyStatus      = 500 * time.Millisecond
	keepFor         = 30 * time.Second
	floorEvery      = 5 * time.Second
	maximumChanges  = 16
	tickEvery       = 500 * time.Millisecond
)

// Owners finds the owner of a runner.
type Owners interface {
	OwnerOf(runner, zone, region string) (wire.Member, bool)
	Wake(request wire.WakeRequest) (wire.WakeResponse, error)
}

// Dependencies are the parts of a node that coordination uses.
type Dependencies struct {
	Membership *membership.Membership
	Machines   *machines.List
	Catalog    *catalog.Catalog
	Grants     *grants.Writer
	Policies   *policy.Set
	Keeper     *sleep.Keeper
	Client     *peer.Client
	Log        *decision.Log
	Logger     logr.Logger
	// StatusChanged takes statuses for this node itself.
	StatusChanged func(wire.UnitStatus)
}

// Coordinator coordinates the units that fall to this node. It is safe for
// concurrent use; the mutex guards units and busy, and is not held during calls.
type Coordinator struct {
	Dependencies
	owners     Owners
	assignment *rendezvous.Assignment
	// names is the version of the unit names the assignment has.
	names atomic.Uint64

	mutex sync.Mutex
	units map[string]*unitState
	busy  map[string]struct{}
	// changes bounds the grant changes this node makes at once, so that a fleet
	// that starts does not flood the table.
	changes chan struct{}
}

// unitState is what a coordinator knows of one unit.
type unitState struct {
	reporters map[string]reporter
	replicas  map[string]seen
	floorAt   time.Time
	floor     int
	reason    string
}

type reporter struct {
	report wire.DemandReport
	at     time.Time
}

type seen struct {
	replica wire.Replica
	at      time.Time
}

// New returns a coordinator.
func New(d Dependencies) *Coordinator {
	return &Coordinator{
		Dependencies: d, assignment: rendezvous.NewAssignment(),
		units: make(map[string]*unitState), busy: make(map[string]struct{}),
		changes: make(chan struct{}, maximumChanges),
	}
}

// SetOwners tells the coordinator how to reach runners' owners. It is called
// before Run.
func (c *Coordinator) SetOwners(owners Owners) { c.owners = owners }

// Register adds the handlers other nodes call.
func (c *Coordinator) Register(server *peer.Server) {
	peer.Handle(server, methodDemand, func(ctx context.Context, report wire.DemandReport) (wire.UnitStatus, error) {
		return c.Demand(ctx, report)
	})
	peer.Handle(server, runner.MethodReport, func(_ context.Context, report wire.ReplicaReport) (wire.Empty, error) {
		c.Report(report.Replica)
		return wire.Empty{}, nil
	})
}

// Refresh brings the spread of units over nodes in step with the catalog and the
// member list.
func (c *Coordinator) Refresh() {
	c.assignment.SetNodes(c.aliveNodes())
	version := c.Catalog.NamesVersion()
	if c.names.Swap(version) != version {
		c.assignment.SetKeys(c.Catalog.UnitNames())
	}
}

func (c *Coordinator) aliveNodes() []string {
	var nodes []string
	for _, member := range c.Membership.Alive() {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

// Owned returns the units this node coordinates, in no order.
func (c *Coordinator) Owned() []string {
	return c.assignment.OwnedBy(c.Membership.Self().Node)
}

// Of returns the node that coordinates a unit.
func (c *Coordinator) Of(unit string) (wire.Member, bool) {
	return c.Membership.Get(c.assignment.Owner(unit))
}

// Send reports demand to the unit's coordinator, which may be this node.
func (c *Coordinator) Send(ctx context.Context, report wire.DemandReport) (wire.UnitStatus, error) {
	member, found := c.Of(report.Unit)
	if !found {
		return wire.UnitStatus{}, fault.New(fault.CodeNotReady, "report demand", "no node coordinates %s", report.Unit)
	}
	if member.Node == c.Membership.Self().Node {
		return c.Demand(ctx, report)
	}
	var status wire.UnitStatus
	err := c.Client.Call(ctx, member.Address, methodDemand, report, &status)
	return status, err
}

// Demand records what waits at a node, wakes what is needed for it and answers
// with the unit's replicas.
func (c *Coordinator) Demand(ctx context.Context, report wire.DemandReport) (wire.UnitStatus, error) {
	unit, known := c.Catalog.Unit(report.Unit)
	if !known {
		return wire.UnitStatus{}, fault.New(fault.CodeUnknownModel, "report demand", "unknown model %s", report.Unit)
	}
	now := time.Now()
	c.mutex.Lock()
	state := c.state(report.Unit)
	state.reporters[report.Node] = reporter{report: report, at: now}
	for _, runner := range report.Doubted {
		delete(state.replicas, runner)
	}
	c.mutex.Unlock()
	c.learn(ctx, unit, now)
	c.wake(ctx, unit, now)
	return c.status(unit), nil
}

// state is called with the mutex held.
func (c *Coordinator) state(unit string) *unitState {
	state, known := c.units[unit]
	if !known {
		state = &unitState{reporters: make(map[string]reporter), replicas: make(map[string]seen)}
		c.units[unit] = state
	}
	return state
}

// Report takes a replica's change from its runner's owner and passes it on to
// the nodes that have demand.
func (c *Coordinator) Report(replica wire.Replica) {
	unit, known := c.Catalog.Unit(replica.Unit)
	if !known {
		return
	}
	c.mutex.Lock()
	state := c.state(replica.Unit)
	state.replicas[replica.Runner] = seen{replica: replica, at: time.Now()}
	c.mutex.Unlock()
	c.push(unit)
}

// learn asks the owners for the replicas whose state is not known or old.
func (c *Coordinator) learn(ctx context.Context, unit catalog.Unit, now time.Time) {
	var group sync.WaitGroup
	for _, item := range c.staleItems(unit, now) {
		group.Go(func() {
			replica := c.ask(ctx, unit.Name, item, look)
			c.store(replica)
		})
	}
	group.Wait()
}

func (c *Coordinator) staleItems(unit catalog.Unit, now time.Time) []api.GrantItem {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.state(unit.Name)
	var stale []api.GrantItem
	for _, item := range usableItems(unit) {
		known, ok := state.replicas[item.Runner]
		expires := statusExpires
		inTransition := known.replica.State != wire.ReplicaReady && known.replica.State != wire.ReplicaSleeping
		if inTransition {
			expires = busyStatus
		}
		if !ok || known.replica.Incarnation != item.Incarnation || now.Sub(known.at) > expires {
			stale = append(stale, item)
		}
		if len(stale) == wire.MaximumStatus {
			break
		}
	}
	return stale
}

// usableItems returns the unit's grant items that are not being taken back.
func usableItems(unit catalog.Unit) []api.GrantItem {
	var items []api.GrantItem
	for _, item := range unit.Grant.Items {
		if !item.Revoking {
			items = append(items, item)
		}
	}
	return items
}

// intent is what an owner is asked about a replica.
type intent uint8

const (
	// look asks for its state.
	look intent = iota
	// load also wants it ready.
	load
	// hold also protects it from sleep, for the floor.
	hold
)

// ask calls the owner of a runner. A runner whose owner does not answer is
// unreachable.
func (c *Coordinator) ask(ctx context.Context, unit string, item api.GrantItem, what intent) wire.Replica {
	replica := wire.Replica{
		Unit: unit, Runner: item.Runner, Incarnation: item.Incarnation, Address: item.Address,
		Zone: item.Zone, Region: item.Region, State: wire.ReplicaUnreachable, Tier: wire.TierRemote,
	}
	owner, found := c.owners.OwnerOf(item.Runner, item.Zone, item.Region)
	if !found {
		return replica
	}
	self := c.Membership.Self()
	request := wire.WakeRequest{Unit: unit, Runner: item.Runner, Load: what != look, Revision: c.Catalog.Revision(), Coordinator: self.Address}
	request.Class = uint8(c.pressing(unit))
	if what == hold {
		request.KeepMilliseconds = keepFor.Milliseconds()
	}
	response, err := c.callOwner(ctx, owner, self, request)
	if err != nil {
		c.Logger.V(1).Info("owner does not answer", "step", "wake", "peer", owner.Node, "model", unit, "error", err.Error())
		return replica
	}
	return response.Replica
}

func (c *Coordinator) callOwner(ctx context.Context, owner, self wire.Member, request wire.WakeRequest) (wire.WakeResponse, error) {
	if owner.Node == self.Node {
		return c.owners.Wake(request)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var response wire.WakeResponse
	err := c.Client.Call(ctx, owner.Address, runner.MethodWake, request, &response)
	return response, err
}

func (c *Coordinator) store(replica wire.Replica) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state(replica.Unit).replicas[replica.Runner] = seen{replica: replica, at: time.Now()}
}

// status describes the unit to a node that has demand.
func (c *Coordinator) status(unit catalog.Unit) wire.UnitStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.state(unit.Name)
	status := wire.UnitStatus{Unit: unit.Name, Reason: state.reason, Revision: c.Catalog.Revision()}
	items := usableItems(unit)
	if len(items) == 0 {
		status.Reason = noGrantReason(unit)
	}
	for _, item := range items {
		known, ok := state.replicas[item.Runner]
		if ok && known.replica.Incarnation == item.Incarnation {
			status.Replicas = append(status.Replicas, inVersion(known.replica, unit.Version))
		}
		if len(status.Replicas) == wire.MaximumStatus {
			break
		}
	}
	return status
}

// inVersion shows a replica that is ready in another version than the active one
// as unloading, which it soon will be.
func inVersion(replica wire.Replica, version string) wire.Replica {
	if replica.State == wire.ReplicaReady && replica.Version != version {
		replica.State = wire.ReplicaUnloading
	}
	return replica
}

func noGrantReason(unit catalog.Unit) string {
	switch {
	case unit.Deleted:
		return "the model was deleted"
	case unit.Replicas == 0:
		return "no replica was decided for the model"
	default:
		return "no runner has been granted the model yet"
	}
}

// push sends the unit's status to the nodes that reported demand lately.
func (c *Coordinator) push(unit catalog.Unit) {
	status := c.status(unit)
	self := c.Membership.Self()
	c.mutex.Lock()
	var addresses []string
	for node, known := range c.state(unit.Name).reporters {
		if time.Since(known.at) > reporterExpires {
			delete(c.units[unit.Name].reporters, node)
			continue
		}
		if node != self.Node {
			addresses = append(addresses, known.report.Address)
		}
	}
	c.mutex.Unlock()
	c.StatusChanged(status)
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
			defer cancel()
			var empty wire.Empty
			_ = c.Client.Call(ctx, address, MethodStatus, status, &empty)
		}()
	}
}
