// Package control implements the work of the node that holds a service's control lease: it
// collects the demand of all nodes, keeps a ledger for each runner, plans, and sends orders
// to the runners. Every node runs a Controller, but it works only while its node holds the
// lease.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/config"
	"lilacvane/internal/eligible"
	"lilacvane/internal/fleet"
	"lilacvane/internal/lease"
	"lilacvane/internal/limit"
	"lilacvane/internal/orders"
	"lilacvane/internal/overload"
	"lilacvane/internal/reach"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/statement"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

const (
	// planPauseFactor is the minimum pause after a planning round, as a multiple of the time
	// the round took.
	planPauseFactor = 3
	// idlePauseFactor is the same after an idle round: with thousands of runners, another
	// round right after it would find nothing new.
	idlePauseFactor = 15
	// planInterval is the time between two plans when nothing triggers one; minPlanInterval is
	// the minimum time between two plans.
	planInterval    = 200 * time.Millisecond
	minPlanInterval = 8 * time.Millisecond
	// loadBurst is how many loads from the weight store may begin at once.
	loadBurst = 2
)

// Policies provides the operators' replica policies. Ready returns how many replicas of a
// model to keep ready and the policy that determines it.
type Policies interface {
	Ready(model string, now time.Time) (int, string)
}

// Sleeper decides how long an unused model stays loaded and whether it is likely to be used
// again soon.
type Sleeper interface {
	// Enabled reports whether unused models are unloaded at all; if not, they stay until their
	// memory is needed.
	Enabled() bool
	// KeepAlive returns how long the model stays loaded after its last use. share is the part
	// of a runner's memory that the model takes.
	KeepAlive(model *config.Model, share float64) time.Duration
	WakeAhead(model *config.Model, share float64, now time.Time) bool
	Observe(model *config.Model, lastUse, now time.Time)
}

// Options configures a Controller.
type Options struct {
	Service string
	Node    string
	// Elector competes for the service's control lease.
	Elector *lease.Elector
	Runners backend.Control
	Fleet   *fleet.Fleet
	// Rules are the operators' decisions about runners and zones, as they apply to work that
	// is meant to last: a zone that is about to be evacuated counts as out.
	Rules eligible.Rules
	// Reach tracks which runners this node reaches by itself; it may be nil.
	Reach *reach.Tracker
	// CheckPath finds out whether this node reaches a runner by itself; it may be nil.
	CheckPath func(runner backend.Runner)
	// Allowance returns how much longer than usual a report may take because this node is late with its
	// own work: a shorter silence says nothing of the runner.
	Allowance overload.Allowance
	// Statements holds what runners stated about themselves in answers; it may be nil.
	Statements *statement.Registry
	// StatementExchange exchanges what runners stated in answers with other nodes; it may be nil.
	StatementExchange StatementExchange
	// NeedList is called with whether this node needs the platform's whole runner list, which
	// planning requires. It is nil where the node has the whole list anyway.
	NeedList func(needed bool)
	// ListRevision returns the revision up to which all changes of the runner list are in
	// Fleet; it may be nil.
	ListRevision  func() table.Revision
	Configuration func() *config.Configuration
	Policies      Policies
	Sleeper       Sleeper
	// ObserveLoad is called with the actual and the expected duration of each load from the
	// weight store; it may be nil.
	ObserveLoad func(took, expected time.Duration)
	// CountInvalidReport counts a report that a runner gave and that was passed over; it may be nil.
	CountInvalidReport func()
	// Divide answers a node's report on shared limits while this node holds the lease. It is
	// nil where the holder of another service divides the limits.
	Divide func(report limit.Report) *limit.Grant
	// CountCrashes records a node's report of runners that ended under its requests.
	CountCrashes func(report wire.PoisonReport)
	// Terms returns the terms for sending requests to the service's cold runners; it is nil
	// where no runner is cold.
	Terms func(service string) coldstart.Terms
	// RecordDecision records a decision about a subject (model/NAME or replica/RUNNER), so
	// that operators can ask for it.
	RecordDecision func(subject, step, reason string)
	Log            logr.Logger
}

// StatementExchange gives access to what runners stated in answers and this node knows: that they are
// leaving, until the platform's list says so, their limits, and that they are brittle. Nodes
// exchange these statements by way of the holder.
type StatementExchange interface {
	// Own returns what this node itself read from answers; All also includes what other nodes
	// passed on.
	Own() Stated
	All() Stated
	// Learn records what another node passed on.
	Learn(node string, stated Stated)
}

// Stated is what runners stated.
type Stated struct {
	Leaving []wire.RunnerLeaving
	Limited []wire.RunnerNumber
	Brittle []wire.RunnerNumber
}

// Controller controls the runners of one service. Its methods may be called concurrently.
type Controller struct {
	Options
	trigger chan struct{}
	// urgency is signalled when requests begin to wait or a runner is suspected to be down.
	urgency chan struct{}

	mutex sync.Mutex
	// token is the lease token under which the ledgers were built; zero if there are none.
	token   uint64
	version uint64
	// listVersion is the version of the runner list that the ledgers reflect; listTaken is set
	// once they reflect one.
	listVersion uint64
	listTaken   bool
	// recentChanges lists the runners whose ledgers changed recently, oldest first.
	recentChanges []recentChange
	// modelVersions is, by model, the version of the last change that concerns it.
	// broadcastVersion is the version of the last change that concerns every node.
	modelVersions    map[string]uint64
	broadcastVersion uint64
	// changed is closed at each change, urgent at changes that concern every node.
	changed chan struct{}
	urgent  chan struct{}
	// reportSignals holds a channel for each node, closed when the node reports waiting
	// requests.
	reportSignals map[string]chan struct{}
	ledgers       map[string]*orders.Ledger
	intents       map[string]scheduler.Intent
	// planned is when models with waiting requests are expected to be ready.
	planned map[scheduler.Want]time.Time
	demand  *demandTracker
	// lender keeps track of the permits for cold runners.
	lender  *coldstart.Lender
	limiter *rate.Limiter
	// loadCrashes counts the runners that ended while they loaded a model; knownLoadCrashes is
	// what an earlier holder counted.
	loadCrashes      *orders.LoadCrashes
	knownLoadCrashes []orders.ModelCrashes
	// pausedModels are the models with demand that no runner holds and whose loads are paused.
	pausedModels map[string]bool
	// store tracks the loads from the weight store and storeLoads lists them by runner;
	// knownStore is what an earlier holder learned.
	store      *weightstore.Estimator
	storeLoads map[string]storeLoad
	knownStore weightstore.Estimate
	floors     map[string]int
	keepAlive  map[string]time.Duration
	rulesAt    time.Time
	// announcedYield is the token of the lease whose yielding was announced to the nodes.
	announcedYield uint64
	// cutOffSince is since when this node, as the holder, is cut off from the runners; handingOver
	// is set while it gives the lease up for that.
	cutOffSince time.Time
	handingOver bool
	// pathsCheckedAt is when paths to runners were last checked because one was broken.
	pathsCheckedAt time.Time
	// pendingReports is the number of report requests in flight.
	pendingReports int
	inFlight       sync.WaitGroup
}

// NewController returns a Controller for a service.
func NewController(options Options) *Controller {
	options.Log = options.Log.WithValues("service", options.Service)
	return &Controller{Options: options, trigger: make(chan struct{}, 1), urgency: make(chan struct{}, 1), modelVersions: make(map[string]uint64), demand: newDemandTracker(),
		changed: make(chan struct{}), urgent: make(chan struct{}), reportSignals: make(map[string]chan struct{}), loadCrashes: orders.NewLoadCrashes(nil)}
}

// Run plans and sends orders whenever the node holds the lease, until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	defer c.inFlight.Wait()
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.trigger:
		}
		started := time.Now()
		idle := true
		if engine := c.engine(); engine != nil {
			idle = c.tick(ctx, engine)
		}
		c.pauseAfterRound(ctx, time.Since(started), idle)
		timer.Reset(c.untilDue())
	}
}

// pauseAfterRound pauses after a round that took the given time. After an idle round, the
// pause ends early if requests begin to wait.
func (c *Controller) pauseAfterRound(ctx context.Context, took time.Duration, idle bool) {
	least := max(minPlanInterval, planPauseFactor*took)
	wait.For(ctx, least)
	if !idle {
		return
	}
	timer := time.NewTimer(max(idlePauseFactor*took-least, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.urgency:
	case <-timer.C:
	}
}

// wakeUrgently asks for a plan as soon as possible.
func (c *Controller) wakeUrgently() {
	select {
	case c.urgency <- struct{}{}:
	default:
	}
	c.Wake()
}

// untilDue returns the time until the next plan: until a report or an adapter is due, at
// most planInterval.
func (c *Controller) untilDue() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pause := planInterval
	if c.token == 0 {
		return pause
	}
	engine := c.engine()
	for _, ledger := range c.ledgers {
		if due := ledger.NextDue(); !due.IsZero() && c.mayReport(ledger, engine) {
			pause = min(pause, max(time.Until(due), minPlanInterval))
		}
	}
	return pause
}

// Wake asks for a plan soon.
func (c *Controller) Wake() {
	select {
	case c.trigger <- struct{}{}:
	default:
	}
}

func (c *Controller) engine() *config.Engine {
	configuration := c.Configuration()
	if configuration == nil || configuration.Services[c.Service] == nil {
		return nil
	}
	return configuration.Services[c.Service].Engine
}

// tick updates the ledgers, makes a plan and sends its orders. It reports whether the round
// was idle.
func (c *Controller) tick(ctx context.Context, engine *config.Engine) (idle bool) {
	select {
	case <-c.urgency:
	default:
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.adoptToken(engine) {
		return false
	}
	if !c.Fleet.Complete() {
		// A plan based on only some of the runners would load models that the others hold.
		c.setListNeeded(true)
		return false
	}
	now := time.Now()
	c.updateRunners(engine, now)
	c.requestReports(ctx, engine, now)
	for _, ledger := range c.ledgers {
		if ledger.CompleteAdapterLoads(now) {
			c.publishLedger(ledger)
		}
	}
	c.updateStoreLoads(now)
	c.checkPaths(now)
	if c.handOverIfCutOff(ctx, now) {
		return false
	}
	if !c.Elector.Acting() {
		c.announceYield()
		return false
	}
	c.announcedYield = 0
	c.setLoadRate(engine)
	state := c.buildState(engine, now)
	plan := scheduler.MakePlan(state)
	c.intents = plan.Intents
	c.addPausedLoads(plan.Ready, state, now)
	c.updatePlanned(plan.Ready, now)
	c.execute(ctx, plan)
	return c.isIdle(&plan, state)
}

// isIdle reports whether the next round can wait: the plan orders nothing, no request
// waits, and no runner has a report or an adapter due. The caller holds mutex.
func (c *Controller) isIdle(plan *scheduler.Plan, state *scheduler.State) bool {
	if len(plan.Steps) > 0 || len(plan.Intents) > 0 || len(plan.Ready) > 0 {
		return false
	}
	for _, demand := range state.Demand {
		if demand.Waiting > 0 {
			return false
		}
	}
	for _, ledger := range c.ledgers {
		if !ledger.NextDue().IsZero() {
			return false
		}
	}
	return true
}

// adoptToken starts new ledgers when the lease was newly acquired and abandons them when it
// is lost. It reports whether this process holds the lease. The caller holds mutex.
func (c *Controller) adoptToken(engine *config.Engine) bool {
	record, _ := c.Elector.Holder()
	if !c.Elector.Holds() {
		if c.token != 0 {
			c.knownStore = c.store.Estimate()
			c.knownLoadCrashes = c.loadCrashes.Known()
			c.setListNeeded(false)
			c.Log.Info("control ended", "token", c.token)
		}
		c.token = 0
		return false
	}
	if c.token == record.Token {
		return true
	}
	if c.token != 0 && record.Token == c.token+1 {
		// This process yielded the lease and regained it before any other node took it.
		c.Log.Info("control goes on", "token", record.Token)
		c.token = record.Token
		return true
	}
	c.token = record.Token
	c.version = 1
	c.modelVersions = make(map[string]uint64)
	c.recentChanges = nil
	c.listTaken = false
	c.broadcastVersion = 0
	c.ledgers = make(map[string]*orders.Ledger)
	c.intents = nil
	c.planned = nil
	c.demand = newDemandTracker()
	c.lender = coldstart.NewLender(time.Now())
	c.store = weightstore.New(c.knownStore)
	c.storeLoads = make(map[string]storeLoad)
	c.loadCrashes = orders.NewLoadCrashes(c.knownLoadCrashes)
	// The new holder does not know when the previous one began its last loads, so it starts
	// without any burst.
	c.limiter = rate.NewLimiter(rate.Limit(engine.LoadsPerSecond), loadBurst)
	c.limiter.AllowN(time.Now(), loadBurst)
	c.Log.Info("control begun", "token", c.token, "loadsPerSecond", engine.LoadsPerSecond,
		"storeLimit", c.store.Estimate().Limit, "storeCapacity", c.store.Estimate().Capacity)
	return true
}

// setListNeeded passes on whether this node needs the platform's whole runner list.
func (c *Controller) setListNeeded(needed bool) {
	if c.NeedList != nil {
		c.NeedList(needed)
	}
}

func (c *Controller) setLoadRate(engine *config.Engine) {
	if limit := rate.Limit(engine.LoadsPerSecond); c.limiter.Limit() != limit {
		c.limiter.SetLimit(limit)
	}
}
