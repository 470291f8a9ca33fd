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
	"lilacvane/internal/wait"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

const (
	// watchHold is how long the holder keeps a watch without news.
	watchHold = 600 * time.Millisecond
	// reportInterval is the time between two reports of a node's demand.
	reportInterval = 250 * time.Millisecond
	// urgentInterval is the least time between two reports.
	urgentInterval = 10 * time.Millisecond
	// syncTimeout bounds a call beyond its hold.
	syncTimeout = 500 * time.Millisecond
	// restingPause lies between two watches of a node at which nothing waits.
	restingPause = 200 * time.Millisecond
	// retryPause follows a failed call.
	retryPause = 150 * time.Millisecond
)

// Syncer tells the lease holder of a service what this node's requests need and
// takes over its accounts of the runners.
type Syncer struct {
	service    string
	self       wire.Member
	spare      float64
	lessor     *lease.Lessor
	controller *Controller
	client     *peer.Client
	book       *demand.Book
	fleet      *fleet.Fleet
	limits     Limits
	crashes    Crashes
	stated     Stated
	observe    Observe
	log        logr.Logger
	// begun is signalled when a request begins to wait, so that a resting watch
	// goes on.
	begun chan struct{}

	mutex   sync.Mutex
	token   uint64
	version uint64
	// nodeCount is how many nodes the holder knows.
	nodeCount int
	lost      bool
	// orderless is set while no holder is heard of that may give orders.
	orderless bool
	// heard is when the holder, another node, answered last with its lease valid.
	heard time.Time
}

// Observed is what a holder knows of the fleet's nodes.
type Observed struct {
	// Nodes is how many reported lately.
	Nodes int
	// BestSpare is the largest part of what a holder should have that one of them has,
	// the holder left out.
	BestSpare float64
	// Standbys are addresses of the nodes that turn to the store first when a holder is
	// lost; not set when they were not told.
	Standbys []string
}

// Limits are a node's shares of limits, which travel with its demand.
type Limits interface {
	// Report returns what to tell; nil when another service's holder divides limits.
	Report() *wire.LimitReport
	// Undelivered takes back a report that got no answer.
	Undelivered(report *wire.LimitReport)
	// Apply takes over the answer to a report sent then.
	Apply(grant *limit.Grant, sent time.Time)
}

// Crashes are the ends of runners under this node's requests, which are told with its demand.
type Crashes interface {
	// Report returns what to tell the holder of the lease; nil for nothing. What it did not
	// get before is told to a holder anew.
	Report(token uint64) *wire.PoisonReport
	// Undelivered takes back a report that got no answer.
	Undelivered(report *wire.PoisonReport)
}

// Observe is told what the holder knows of the fleet's nodes.
type Observe func(Observed)

// NewSyncer returns a syncer for a service.
func NewSyncer(service string, self wire.Member, spare float64, lessor *lease.Lessor, controller *Controller, client *peer.Client, book *demand.Book,
	known *fleet.Fleet, limits Limits, crashes Crashes, stated Stated, observe Observe, log logr.Logger) *Syncer {
	return &Syncer{
		service: service, self: self, spare: spare, lessor: lessor, controller: controller, client: client, book: book, fleet: known,
		limits: limits, crashes: crashes, stated: stated, observe: observe, log: log.WithValues("service", service), begun: make(chan struct{}, 1),
	}
}

// Run watches and reports until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.watch(ctx) })
	loops.Go(func() { s.reportLoop(ctx) })
	loops.Wait()
}

// watch takes over changes as they come.
func (s *Syncer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.call(ctx, wire.SyncRequest{HoldMs: watchHold.Milliseconds()})
		switch {
		case err != nil:
			wait.For(ctx, retryPause)
		case !s.book.Waits(s.service):
			// Nothing waits for news, so they are gathered.
			s.rest(ctx)
		}
	}
}

// rest pauses until a request begins to wait.
func (s *Syncer) rest(ctx context.Context) {
	timer := time.NewTimer(restingPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.begun:
	}
}

func (s *Syncer) wakeWatch() {
	select {
	case s.begun <- struct{}{}:
	default:
	}
}

// reportLoop reports the demand at intervals, and at once when a request begins
// to wait.
func (s *Syncer) reportLoop(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	urgent := s.book.Urgent(s.service)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-urgent:
			s.wakeWatch()
		}
		err := s.tell(ctx)
		pause := reportEvery(s.nodes())
		if err != nil {
			pause = retryPause
		}
		timer.Reset(pause)
		wait.For(ctx, urgentInterval)
	}
}

// tell makes one report, with what was asked of limits and the runners that ended.
func (s *Syncer) tell(ctx context.Context) error {
	request := s.report()
	request.Limits = s.limits.Report()
	request.Poison = s.crashes.Report(s.holderToken())
	request.Leaving, request.Limited = s.stated.Own()
	err := s.call(ctx, request)
	if err != nil && request.Limits != nil {
		s.limits.Undelivered(request.Limits)
	}
	if err != nil && request.Poison != nil {
		s.crashes.Undelivered(request.Poison)
	}
	return err
}

// holderToken is the token of the holder that answered last.
func (s *Syncer) holderToken() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.token
}

// holderName is the node that holds the lease, as far as this one knows.
func (s *Syncer) holderName() string {
	record, _ := s.lessor.Holder()
	return record.Holder
}

// nodesPerInterval is how many nodes may report to a holder within reportInterval:
// some 400 reports a second of about 0.5 kB, a tenth of the smallest link seen.
const nodesPerInterval = 96

// reportEvery is the time between two reports of a node: the more nodes there are,
// the longer, so that the holder's work stays bounded.
func reportEvery(nodes int) time.Duration {
	return reportInterval * time.Duration(max(1, nodes/nodesPerInterval))
}

func (s *Syncer) nodes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodeCount
}

// report sums up the node's demand.
func (s *Syncer) report() wire.SyncRequest {
	request := wire.SyncRequest{Report: true, Suspects: s.fleet.TakeSuspects(s.service), Spare: s.spare}
	now := time.Now()
	for _, waiting := range s.book.Waiting() {
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
	for _, usage := range s.book.TakeUsage(s.service) {
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

// call makes one call to the holder, wherever it is, and takes over its answer.
func (s *Syncer) call(ctx context.Context, request wire.SyncRequest) error {
	request.Service, request.Node, request.Partial = s.service, s.self.Node, !s.fleet.Whole()
	if request.Report {
		request.Zone, request.Region, request.Address = s.self.Zone, s.self.Region, s.self.Address
	}
	s.mutex.Lock()
	request.Token, request.Version = s.token, s.version
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+syncTimeout)
	defer cancel()
	sent := time.Now()
	response, err := s.ask(ctx, request)
	s.note(ctx, err)
	s.noteOrders(response, err)
	if err != nil {
		return err
	}
	if response.Limits != nil {
		s.limits.Apply(response.Limits, sent)
	}
	s.fleet.ApplyPermits(permitsLent(response.Permits), sent)
	s.stated.Learn(s.holderName(), response.Leaving, response.Limited)
	if request.Report {
		s.controller.LearnLoadEnds(response.LoadEnds)
	}
	s.take(response)
	return nil
}

func (s *Syncer) ask(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	if s.lessor.Holds() {
		return s.controller.Sync(ctx, request)
	}
	record, known := s.lessor.Holder()
	if !known {
		return wire.SyncResponse{}, errNoHolder
	}
	var response wire.SyncResponse
	err := s.client.Call(ctx, record.Address, wire.MethodSync, request, &response)
	if err == nil && response.Token == record.Token {
		s.noteHeard(response)
	}
	return response, err
}

// noteOrders follows when somebody gives orders: the holder tells; without one it
// takes the turn gap at least.
func (s *Syncer) noteOrders(response wire.SyncResponse, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil && response.Valid:
		s.orderless = false
		s.fleet.HearLender(s.service)
		s.fleet.SetOrdersIn(s.service, time.Duration(response.ActsInMs)*time.Millisecond)
	case !s.orderless:
		s.orderless = true
		s.fleet.SetOrdersIn(s.service, s.lessor.TurnGap())
	}
}

// noteHeard takes over the holder's word of its lease.
func (s *Syncer) noteHeard(response wire.SyncResponse) {
	s.mutex.Lock()
	s.heard = time.Time{}
	if response.Valid {
		s.heard = time.Now()
	}
	s.mutex.Unlock()
	if response.LeaseRenewal > 0 {
		s.lessor.Observe(lease.HolderStatus{
			Token: response.Token, Renewal: response.LeaseRenewal, Yielded: response.LeaseYielded,
			Quiet: time.Duration(response.LeaseQuietMs) * time.Millisecond,
		})
	}
}

// holderHeard is how long an answer of the holder proves that it is there.
const holderHeard = time.Second

// Heard reports whether the holder of the newest record known answered lately,
// with its lease valid.
func (s *Syncer) Heard() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.lost && time.Since(s.heard) < holderHeard
}

// take applies an answer unless a newer one was applied meanwhile.
func (s *Syncer) take(response wire.SyncResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if response.Token < s.token || (response.Token == s.token && response.Version < s.version) {
		return
	}
	s.token, s.version = response.Token, response.Version
	s.nodeCount = response.Nodes
	s.observe(Observed{Nodes: response.Nodes, BestSpare: response.BestSpare, Standbys: response.Standbys})
	s.controller.LearnStore(weightstore.Estimate{Limit: response.StoreLimit, Capacity: response.StoreCapacity})
	views := make([]fleet.View, 0, len(response.Runners))
	for _, runner := range response.Runners {
		views = append(views, fleetView(s.service, runner))
	}
	s.fleet.ApplyPlanned(s.service, plannedUnits(response.Planned))
	s.fleet.ApplyViews(views, response.ListRevision)
}

func plannedUnits(planned []wire.UnitComing) []fleet.Coming {
	units := make([]fleet.Coming, 0, len(planned))
	for _, coming := range planned {
		units = append(units, comingUnit(coming))
	}
	return units
}

// longestNext bounds, in milliseconds, the word of when a permit can be lent.
const longestNext = int64(coldstart.Longest / time.Millisecond)

func permitsLent(lent []wire.PermitsLent) []fleet.PermitsLent {
	permits := make([]fleet.PermitsLent, 0, len(lent))
	for _, p := range lent {
		next := time.Duration(min(max(p.NextMs, 0), longestNext)) * time.Millisecond
		permits = append(permits, fleet.PermitsLent{Runner: p.Runner, Count: p.Count, Next: next})
	}
	return permits
}

func comingUnit(coming wire.UnitComing) fleet.Coming {
	return fleet.Coming{
		Unit: backend.Unit{Model: coming.Model, Adapter: coming.Adapter}, In: time.Duration(coming.InMs) * time.Millisecond,
		Homes: place.HomesOf(coming.Homes), Firm: coming.Firm,
	}
}

func fleetView(service string, runner wire.RunnerView) fleet.View {
	view := fleet.View{Runner: runner.Runner, Silent: runner.Silent}
	for _, held := range runner.Ready {
		view.Ready = append(view.Ready, backend.Holding{Model: held.Model, Adapters: held.Adapters})
	}
	if listed := runner.Listed; listed != nil {
		view.Listed = &backend.Runner{
			ID: runner.Runner, Born: listed.Born, Service: service, Address: listed.Address, Zone: listed.Zone, Region: listed.Region,
			Slots: listed.Slots, Revision: listed.Revision, Models: view.Ready,
		}
	}
	for _, coming := range runner.Coming {
		view.Coming = append(view.Coming, comingUnit(coming))
	}
	return view
}

// note logs the loss and the return of the holder once each.
func (s *Syncer) note(ctx context.Context, err error) {
	if ctx.Err() != nil && err == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if (err != nil) == s.lost {
		return
	}
	s.lost = err != nil
	if err != nil {
		s.log.Info("dependency lost", "dependency", "control holder", "error", err.Error())
		return
	}
	s.log.Info("dependency regained", "dependency", "control holder", "token", s.token)
}
