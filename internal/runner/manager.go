package runner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/decision"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/machines"
	"lilacvane/internal/membership"
	"lilacvane/internal/peer"
	"lilacvane/internal/rendezvous"
	"lilacvane/internal/wire"
)

// The peer calls that a runner's owner answers.
const (
	// MethodWake asks for a replica's state, and to load it.
	MethodWake = "wake"
	// MethodRunners asks for the runners a node owns.
	MethodRunners = "runners"
)

const (
	ownerKey      = "runner/"
	assignEvery   = 300 * time.Millisecond
	reportTimeout = time.Second
)

// Settings of runner ownership.
type Settings struct {
	// Poll is the time between two state reports of a runner at rest.
	Poll time.Duration
}

// Grants commits changes of grants.
type Grants interface {
	// Remove takes a grant item away that the runner confirmed.
	Remove(ctx context.Context, unit string, item api.GrantItem) error
}

// Controls opens the control interface of a runner by its address.
type Controls func(address string) engine.Control

// Manager owns the runners that fall to this node. It is safe for concurrent
// use.
type Manager struct {
	settings   Settings
	membership *membership.Membership
	machines   *machines.List
	catalog    *catalog.Catalog
	controls   Controls
	client     *peer.Client
	grants     Grants
	keep       KeepAlive
	log        *decision.Log
	logger     logr.Logger
	permits    Permits

	assignment *rendezvous.Assignment
	// seen is what the owned runners were derived from; only Run uses it.
	seen seenVersions

	mutex    sync.Mutex
	owners   map[string]*running
	removing map[string]struct{}
	reports  func(wire.Replica)
	idle     func(float64)
	newer    func(address string, revision uint64, entries []wire.Entry)
}

type running struct {
	owner *owner
	stop  context.CancelFunc
	done  chan struct{}
}

// Dependencies are the parts of a node that ownership uses.
type Dependencies struct {
	Membership *membership.Membership
	Machines   *machines.List
	Catalog    *catalog.Catalog
	Controls   Controls
	Client     *peer.Client
	Grants     Grants
	KeepAlive  KeepAlive
	Permits    Permits
	Log        *decision.Log
	Logger     logr.Logger
	// Reports takes the changes of replicas whose coordinator is this node.
	Reports func(wire.Replica)
	// Idle takes the seconds that loaded replicas stood without work.
	Idle func(seconds float64)
	// Newer hears that a peer acts on a configuration revision that may be
	// newer than this node's.
	Newer func(address string, revision uint64, entries []wire.Entry)
}

// NewManager returns a manager without runners.
func NewManager(settings Settings, d Dependencies) *Manager {
	return &Manager{
		settings: settings, membership: d.Membership, machines: d.Machines, catalog: d.Catalog, controls: d.Controls,
		client: d.Client, grants: d.Grants, keep: d.KeepAlive, log: d.Log, logger: d.Logger, reports: d.Reports, idle: d.Idle, newer: d.Newer,
		assignment: rendezvous.NewAssignment(),
		permits:    d.Permits, owners: make(map[string]*running), removing: make(map[string]struct{}),
	}
}

// Register adds the handlers other nodes call.
func (m *Manager) Register(server *peer.Server) {
	peer.Handle(server, MethodWake, func(_ context.Context, request wire.WakeRequest) (wire.WakeResponse, error) {
		return m.Wake(request)
	})
	peer.Handle(server, MethodRunners, func(_ context.Context, request wire.RunnersRequest) (wire.RunnersResponse, error) {
		return wire.RunnersResponse{Runners: m.Status(request.Runner)}, nil
	})
}

// Run keeps the set of owned runners in step with membership and the machine
// list until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(assignEvery)
	defer ticker.Stop()
	for {
		m.assign(ctx)
		select {
		case <-ctx.Done():
			m.stopAll()
			return
		case <-ticker.C:
		}
	}
}

// runners lists what the machine list shows and, for runners it does not know
// (it may be unreachable since this node started), what the grants name.
func (m *Manager) runners() []machines.Machine {
	listed := m.machines.All()
	for _, item := range m.catalog.GrantedRunners() {
		if _, known := m.machines.Get(item.Runner); known || m.machines.Terminated(item.Incarnation) {
			continue
		}
		listed = append(listed, machines.Machine{
			Name: item.Runner, Incarnation: item.Incarnation, Address: item.Address, Zone: item.Zone,
			Region: item.Region, State: machines.StateLive,
		})
	}
	return listed
}

// seenVersions are the versions of what the set of owned runners follows from.
type seenVersions struct {
	members  uint64
	machines uint64
	// grants counts only while no machine list has been read.
	grants uint64
}

func (m *Manager) versions() seenVersions {
	versions := seenVersions{members: m.membership.Version(), machines: m.machines.Version()}
	if versions.machines == 0 {
		versions.grants = m.catalog.Newest(api.KindGrant)
	}
	return versions
}

// wanted returns the runners that fall to this node. Those of the own zone are
// spread by an assignment that costs little when a node comes or goes; those of
// zones without a living node are looked at one by one.
func (m *Manager) wanted() map[string]machines.Machine {
	self := m.membership.Self()
	populated := make(map[string]struct{})
	var zoneNodes []string
	for _, member := range m.membership.Alive() {
		populated[member.Zone] = struct{}{}
		if member.Zone == self.Zone {
			zoneNodes = append(zoneNodes, member.Node)
		}
	}
	wanted := make(map[string]machines.Machine)
	own := make(map[string]machines.Machine)
	var keys []string
	for _, machine := range m.runners() {
		_, hasNodes := populated[machine.Zone]
		switch {
		case machine.Zone == self.Zone:
			key := ownerKey + machine.Name
			own[key] = machine
			keys = append(keys, key)
		case !hasNodes:
			if owner, found := m.OwnerOf(machine.Name, machine.Zone, machine.Region); found && owner.Node == self.Node {
				wanted[machine.Name] = machine
			}
		}
	}
	m.assignment.SetNodes(zoneNodes)
	m.assignment.SetKeys(keys)
	for _, key := range m.assignment.OwnedBy(self.Node) {
		wanted[own[key].Name] = own[key]
	}
	return wanted
}

// assign starts and stops owners after members, machines or grants changed.
func (m *Manager) assign(ctx context.Context) {
	versions := m.versions()
	if versions == m.seen {
		return
	}
	m.seen = versions
	wanted := m.wanted()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, current := range m.owners {
		machine, keep := wanted[name]
		if !keep || machine.Incarnation != current.owner.machine.Incarnation {
			current.stop()
			delete(m.owners, name)
		}
	}
	for name, machine := range wanted {
		if _, exists := m.owners[name]; !exists {
			m.start(ctx, machine)
		}
	}
}

// start is called with the mutex held.
func (m *Manager) start(ctx context.Context, machine machines.Machine) {
	o := &owner{
		machine: machine, node: m.membership.Self().Node, control: m.controls(machine.Address),
		catalog: m.catalog, permits: m.permits, held: make(map[string]struct{}), keep: m.keep, log: m.log, logger: m.logger,
		report: m.report, revoked: m.revoked, wantRole: m.wantRole, idle: m.idle, kick: make(chan struct{}, 1),
		wishes: make(map[string]*wish), watchers: make(map[string]string), reported: make(map[string]wire.ReplicaState), lastUse: make(map[string]time.Time),
	}
	ownerContext, stop := context.WithCancel(ctx)
	entry := &running{owner: o, stop: stop, done: make(chan struct{})}
	m.owners[machine.Name] = entry
	go func() {
		defer close(entry.done)
		o.run(ownerContext, m.settings.Poll)
	}()
}

func (m *Manager) stopAll() {
	m.mutex.Lock()
	owners := m.owners
	m.owners = make(map[string]*running)
	m.mutex.Unlock()
	for _, entry := range owners {
		entry.stop()
		<-entry.done
	}
}

// Look makes all owners look at once, because the grants or the machine list
// changed.
func (m *Manager) Look() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, entry := range m.owners {
		entry.owner.wake()
	}
}

// OwnerOf returns the node that should own a runner: one of the runner's zone,
// of its region when the zone has no node left, or else any.
func (m *Manager) OwnerOf(runner, zone, region string) (wire.Member, bool) {
	key := ownerKey + runner
	for _, admit := range []func(wire.Member) bool{
		func(member wire.Member) bool { return member.Zone == zone },
		func(member wire.Member) bool { return member.Region == region },
		func(wire.Member) bool { return true },
	} {
		if owner, found := m.membership.Owner(key, admit); found {
			return owner, true
		}
	}
	return wire.Member{}, false
}

// Wake tells the state of a unit on a runner this node owns and, if asked,
// starts to load it.
func (m *Manager) Wake(request wire.WakeRequest) (wire.WakeResponse, error) {
	m.mutex.Lock()
	entry, owned := m.owners[request.Runner]
	m.mutex.Unlock()
	if !owned {
		return wire.WakeResponse{}, fault.New(fault.CodeNotReady, MethodWake, "runner %s is not owned by this node", request.Runner)
	}
	m.newer(request.Coordinator, request.Revision, nil)
	keepFor := time.Duration(request.KeepMilliseconds) * time.Millisecond
	return wire.WakeResponse{Replica: entry.owner.wish(request.Unit, request.Coordinator, request.Load, api.Class(request.Class), keepFor)}, nil
}

// Status describes one owned runner, or all when name is empty.
func (m *Manager) Status(name string) []wire.RunnerStatus {
	m.mutex.Lock()
	var owners []*owner
	for runner, entry := range m.owners {
		if name == "" || name == runner {
			owners = append(owners, entry.owner)
		}
	}
	m.mutex.Unlock()
	var statuses []wire.RunnerStatus
	for _, o := range owners {
		statuses = append(statuses, o.status())
	}
	return statuses
}

func (m *Manager) report(coordinator string, replica wire.Replica) {
	if coordinator == m.membership.Self().Address {
		m.reports(replica)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		var empty wire.Empty
		_ = m.client.Call(ctx, coordinator, MethodReport, wire.ReplicaReport{Replica: replica}, &empty)
	}()
}

// MethodReport is the peer call by which an owner tells a coordinator of a
// change; package coordinator answers it.
const MethodReport = "report"

// revoked commits the removal of a confirmed grant item, one at a time for each
// unit.
func (m *Manager) revoked(unit string, item api.GrantItem) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, already := m.removing[unit]; already {
		return
	}
	m.removing[unit] = struct{}{}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		if err := m.grants.Remove(ctx, unit, item); err != nil {
			m.logger.V(1).Info("grant item not removed yet", "step", "remove grant", "model", unit, "error", err.Error())
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.removing, unit)
	}()
}

const commitTimeout = 8 * time.Second

// wantRole drains a runner whose machine is leaving or that a Drain names.
func (m *Manager) wantRole(machine machines.Machine) engine.Role {
	current, listed := m.machines.Get(machine.Name)
	leaving := listed && current.Incarnation == machine.Incarnation && current.State == machines.StateLeaving
	if leaving || m.catalog.Drains(api.DrainRunner, machine.Name) || m.catalog.Drains(api.DrainZone, machine.Zone) {
		return engine.RoleDraining
	}
	return engine.RoleServing
}
