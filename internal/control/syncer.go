package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/demand"
	"lilacvane/internal/fleet"
	"lilacvane/internal/lease"
	"lilacvane/internal/limit"
	"lilacvane/internal/peer"
	"lilacvane/internal/place"
	"lilacvane/internal/table"
	"lilacvane/internal/tunnel"
	"lilacvane/internal/wait"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

const (
	// watchHold is how long the holder keeps a watch open without changes.
	watchHold = 600 * time.Millisecond
	// reportInterval is the time between two reports of a node's demand.
	reportInterval = 250 * time.Millisecond
	// urgentInterval is the minimum time between two reports.
	urgentInterval = 10 * time.Millisecond
	// syncTimeout is the timeout of a call, in addition to its hold time.
	syncTimeout = 500 * time.Millisecond
	// idleWatchPause is the pause between two watches of a node without waiting requests.
	idleWatchPause = 200 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
)

// Syncer reports the demand of this node's requests to the service's lease holder and
// applies the runner states that the holder sends back.
type Syncer struct {
	service    string
	self       wire.Member
	spare      float64
	elector    *lease.Elector
	controller *Controller
	client     *peer.Client
	tracker    *demand.Tracker
	fleet      *fleet.Fleet
	limits     Limits
	crashes    Crashes
	stated     StatementExchange
	observe    Observe
	log        logr.Logger
	// waitBegan is signalled when a request begins to wait, so that a pausing watch continues.
	waitBegan chan struct{}

	mutex   sync.Mutex
	token   uint64
	version uint64
	// nodeCount is how many nodes the holder knows, neighborsDigest the digest of the neighbors that
	// it sent last.
	nodeCount       int
	neighborsDigest uint64
	holderLost      bool
	// withoutOrders is set while no holder is known that may send orders.
	withoutOrders bool
	// lastValidAnswer is when another node, as the holder, last answered with its lease valid.
	lastValidAnswer time.Time
}

// Observed is what a holder knows about the fleet's nodes.
type Observed struct {
	// Nodes is how many nodes reported recently.
	Nodes int
	// BestSpare is the largest fraction of a holder's desired capacity that any of them has,
	// except the holder itself.
	BestSpare float64
	// TunnelPeers are nodes through which runners may be reached; empty if the answer
	// did not contain any.
	TunnelPeers []tunnel.Peer
	// Standbys are addresses of the nodes that turn to the store first when a holder is lost;
	// empty if the answer did not contain them.
	Standbys []string
	// Holder is the holder's address.
	Holder string
	// Neighbors are addresses of the nodes to which urgent news is passed on; empty if the answer did
	// not contain any.
	Neighbors []string
}

// Limits are a node's shares of rate limits, which are reported along with its demand.
type Limits interface {
	// Report returns the report to send; nil if the holder of another service divides limits.
	Report() *wire.LimitReport
	// Undelivered takes back a report that was not answered.
	Undelivered(report *wire.LimitReport)
	// Apply applies the answer to a report sent at the given time.
	Apply(grant *limit.Grant, sent time.Time)
}

// Crashes collects the runners that ended under this node's requests, which are reported
// along with its demand.
type Crashes interface {
	// Report returns the report for the lease holder; nil if there is nothing to report. A
	// holder that did not receive earlier reports gets their content again.
	Report(token uint64) *wire.PoisonReport
	// Undelivered takes back a report that was not answered.
	Undelivered(report *wire.PoisonReport)
}

// Observe is called with what the holder knows about the fleet's nodes.
type Observe func(Observed)

// NewSyncer returns a Syncer for a service.
func NewSyncer(service string, self wire.Member, spare float64, elector *lease.Elector, controller *Controller, client *peer.Client, tracker *demand.Tracker,
	known *fleet.Fleet, limits Limits, crashes Crashes, stated StatementExchange, observe Observe, log logr.Logger) *Syncer {
	return &Syncer{
		service: service, self: self, spare: spare, elector: elector, controller: controller, client: client, tracker: tracker, fleet: known,
		limits: limits, crashes: crashes, stated: stated, observe: observe, log: log.WithValues("service", service), waitBegan: make(chan struct{}, 1),
	}
}

// Run watches for changes and reports demand until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.watch(ctx) })
	loops.Go(func() { s.reportLoop(ctx) })
	loops.Wait()
}

// watch receives changes as they happen.
func (s *Syncer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.call(ctx, wire.SyncRequest{HoldMs: watchHold.Milliseconds()})
		switch {
		case err != nil:
			wait.For(ctx, retryPause)
		case !s.tracker.Waits(s.service):
			// No request waits for changes, so they may be batched.
			s.pauseUntilWaiting(ctx)
		}
	}
}

// pauseUntilWaiting pauses until a request begins to wait, at most for idleWatchPause.
func (s *Syncer) pauseUntilWaiting(ctx context.Context) {
	timer := time.NewTimer(idleWatchPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.waitBegan:
	}
}

func (s *Syncer) wakeWatch() {
	select {
	case s.waitBegan <- struct{}{}:
	default:
	}
}

// reportLoop reports the demand periodically, and at once when a request begins to wait.
func (s *Syncer) reportLoop(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	urgent := s.tracker.Urgent(s.service)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-urgent:
			s.wakeWatch()
		}
		err := s.sendReport(ctx)
		pause := reportPeriod(s.knownNodes())
		if err != nil {
			pause = retryPause
		}
		timer.Reset(pause)
		wait.For(ctx, urgentInterval)
	}
}

// sendReport sends one report, including the demand on shared limits and the runners that
// ended.
func (s *Syncer) sendReport(ctx context.Context) error {
	request := s.buildReport()
	request.Limits = s.limits.Report()
	request.Poison = s.crashes.Report(s.holderToken())
	own := s.stated.Own()
	request.Leaving, request.Limited, request.Brittle = own.Leaving, own.Limited, own.Brittle
	err := s.call(ctx, request)
	if err != nil && request.Limits != nil {
		s.limits.Undelivered(request.Limits)
	}
	if err != nil && request.Poison != nil {
		s.crashes.Undelivered(request.Poison)
	}
	return err
}

// holderToken returns the lease token of the holder that answered last.
func (s *Syncer) holderToken() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.token
}

// holderName returns the node that holds the lease, as far as this node knows.
func (s *Syncer) holderName() string {
	record, _ := s.elector.Holder()
	return record.Holder
}

// nodesPerInterval is how many nodes may report to a holder within reportInterval: some 400
// reports per second of about 0.5 kB, a tenth of the smallest link seen.
const nodesPerInterval = 96

// reportPeriod returns the time between two reports of a node. It grows with the number of
// nodes, so that the holder's work stays bounded.
func reportPeriod(nodes int) time.Duration {
	return reportInterval * time.Duration(max(1, nodes/nodesPerInterval))
}

func (s *Syncer) knownNodes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodeCount
}

// buildReport summarizes the node's demand.
func (s *Syncer) buildReport() wire.SyncRequest {
	request := wire.SyncRequest{Report: true, Suspects: s.fleet.TakeSuspects(s.service), Spare: s.spare}
	now := time.Now()
	for _, waiting := range s.tracker.Waiting() {
		if waiting.Service != s.service {
			continue
		}
		request.Waiting = append(request.Waiting, wire.UnitWaiting{
			Model: waiting.Unit.Model, Adapter: waiting.Unit.Adapter, Count: waiting.Count,
			LeftMs: waiting.Deadline.Sub(now).Milliseconds(), Priority: waiting.Priority,
			Homes: waiting.Homes.Names(),
		})
		for _, wanted := range s.fleet.PermitsWanted(s.service, waiting.Unit, waiting.Homes, waiting.Count) {
			request.Permits = append(request.Permits, wire.PermitsWanted{Runner: wanted.Runner, Count: wanted.Count, Rate: wanted.Rate})
		}
	}
	for _, usage := range s.tracker.TakeUsage(s.service) {
		request.Usage = append(request.Usage, wire.UnitUsage{
			Model: usage.Unit.Model, Adapter: usage.Unit.Adapter, Requests: usage.Requests, Tokens: usage.Tokens,
			Homes: usage.Homes.Names(),
		})
	}
	for _, usage := range s.fleet.Usage(s.service) {
		request.Running = append(request.Running, wire.RunnerUsage{Runner: usage.Runner, Models: usage.Models, Adapters: usage.Adapters})
	}
	return request
}

// call sends one request to the holder, local or remote, and applies the response.
func (s *Syncer) call(ctx context.Context, request wire.SyncRequest) error {
	request.Service, request.Node, request.Partial = s.service, s.self.Node, !s.fleet.Complete()
	if request.Report {
		request.Zone, request.Region, request.Address = s.self.Zone, s.self.Region, s.self.Address
		request.CutOff = s.controller.Reach.CutOff()
	}
	s.mutex.Lock()
	request.Token, request.Version = s.token, s.version
	if request.Report {
		request.NeighborsDigest = s.neighborsDigest
	}
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+syncTimeout)
	defer cancel()
	sent := time.Now()
	response, err := s.callHolder(ctx, request)
	s.logHolderChange(ctx, err)
	s.trackOrders(response, err)
	if err != nil {
		return err
	}
	if response.Limits != nil {
		s.limits.Apply(response.Limits, sent)
	}
	s.fleet.ApplyPermits(permitsLent(response.Permits), sent)
	s.stated.Learn(s.holderName(), Stated{Leaving: response.Leaving, Limited: response.Limited, Brittle: response.Brittle})
	if request.Report {
		s.controller.LearnLoadCrashes(response.LoadCrashes)
	}
	s.applyResponse(response)
	return nil
}

// callHolder sends a request to the lease holder, which may be this node.
func (s *Syncer) callHolder(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	if s.elector.Holds() {
		return s.controller.Sync(ctx, request)
	}
	record, known := s.elector.Holder()
	if !known {
		return wire.SyncResponse{}, errNoHolder
	}
	var response wire.SyncResponse
	err := s.client.Call(ctx, record.Address, wire.MethodSync, request, &response)
	if err == nil && response.Token == record.Token {
		s.applyHolderStatus(response)
	}
	return response, err
}

// trackOrders records the time until orders can be sent. A valid response contains it;
// without one, it is at least the turn gap.
func (s *Syncer) trackOrders(response wire.SyncResponse, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil && response.Valid:
		s.withoutOrders = false
		s.fleet.RecordLender(s.service)
		s.fleet.SetOrdersIn(s.service, time.Duration(response.ActsInMs)*time.Millisecond)
	case !s.withoutOrders:
		s.withoutOrders = true
		s.fleet.SetOrdersIn(s.service, s.elector.TurnGap())
	}
}

// applyHolderStatus applies the holder's status of its lease.
func (s *Syncer) applyHolderStatus(response wire.SyncResponse) {
	s.mutex.Lock()
	s.lastValidAnswer = time.Time{}
	if response.Valid {
		s.lastValidAnswer = time.Now()
	}
	s.mutex.Unlock()
	if response.LeaseRenewal > 0 {
		s.elector.ApplyStatus(lease.HolderStatus{
			Token: response.Token, Renewal: response.LeaseRenewal, Yielded: response.LeaseYielded,
			Quiet: time.Duration(response.LeaseQuietMs) * time.Millisecond,
		})
	}
}

// holderFreshness is how long an answer counts as proof that the holder is alive.
const holderFreshness = time.Second

// HolderAnswered reports whether the holder named by the newest known record recently answered with
// its lease valid.
func (s *Syncer) HolderAnswered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.holderLost && time.Since(s.lastValidAnswer) < holderFreshness
}

// applyResponse applies a response unless a newer one was applied in the meantime.
func (s *Syncer) applyResponse(response wire.SyncResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if response.Token < s.token || (response.Token == s.token && response.Version < s.version) {
		return
	}
	s.token, s.version = response.Token, response.Version
	s.nodeCount = response.Nodes
	if len(response.Neighbors) > 0 {
		s.neighborsDigest = wire.NeighborsDigest(response.Neighbors)
	}
	record, _ := s.elector.Holder()
	s.observe(Observed{Holder: record.Address, Nodes: response.Nodes, BestSpare: response.BestSpare, Standbys: response.Standbys, TunnelPeers: tunnelPeersOf(response), Neighbors: response.Neighbors})
	s.controller.LearnStore(weightstore.Estimate{Limit: response.StoreLimit, Capacity: response.StoreCapacity})
	views := make([]fleet.View, 0, len(response.Runners))
	for _, runner := range response.Runners {
		views = append(views, fleetView(s.service, runner))
	}
	s.fleet.ApplyPlanned(s.service, plannedUnits(response.Planned))
	s.fleet.ApplyViews(views, table.NewRevision(response.ListEpoch, response.ListRevision))
}

func plannedUnits(planned []wire.PendingUnit) []fleet.PendingUnit {
	units := make([]fleet.PendingUnit, 0, len(planned))
	for _, pending := range planned {
		units = append(units, pendingUnit(pending))
	}
	return units
}

// maxNextMs limits the time, in milliseconds, until the next permit can be lent, as stated
// by the holder.
const maxNextMs = int64(coldstart.MaxDuration / time.Millisecond)

func permitsLent(lent []wire.PermitsLent) []fleet.PermitsLent {
	permits := make([]fleet.PermitsLent, 0, len(lent))
	for _, p := range lent {
		next := time.Duration(min(max(p.NextMs, 0), maxNextMs)) * time.Millisecond
		permits = append(permits, fleet.PermitsLent{Runner: p.Runner, Count: p.Count, Next: next})
	}
	return permits
}

func pendingUnit(pending wire.PendingUnit) fleet.PendingUnit {
	return fleet.PendingUnit{
		Unit: backend.Unit{Model: pending.Model, Adapter: pending.Adapter}, In: time.Duration(pending.InMs) * time.Millisecond,
		Homes: place.HomesFromNames(pending.Homes), Firm: pending.Firm,
	}
}

func fleetView(service string, runner wire.RunnerView) fleet.View {
	view := fleet.View{Runner: runner.Runner, Silent: runner.Silent}
	for _, held := range runner.Ready {
		view.Ready = append(view.Ready, backend.Holding{Model: held.Model, Adapters: held.Adapters})
	}
	if listed := runner.Listed; listed != nil {
		view.Listed = &backend.Runner{
			ID: runner.Runner, Born: listed.Born, Service: service, Address: listed.Address, Zone: listed.Zone, Region: listed.Region, Build: listed.Build,
			Slots: listed.Slots, Revision: table.NewRevision(listed.Epoch, listed.Revision), Models: view.Ready,
		}
	}
	for _, pending := range runner.Pending {
		view.Pending = append(view.Pending, pendingUnit(pending))
	}
	return view
}

// logHolderChange logs once when the holder is lost and once when it is back.
func (s *Syncer) logHolderChange(ctx context.Context, err error) {
	if ctx.Err() != nil && err == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if (err != nil) == s.holderLost {
		return
	}
	s.holderLost = err != nil
	if err != nil {
		s.log.Info("dependency lost", "dependency", "control holder", "error", err.Error())
		return
	}
	s.log.Info("dependency regained", "dependency", "control holder", "token", s.token)
}
