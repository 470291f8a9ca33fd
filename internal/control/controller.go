// Package control is the work of the node that holds a service's control lease:
// it gathers the nodes' demand, keeps the runners' accounts, plans, and gives
// orders. Every node runs a Controller; it works only while its node holds the
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
	"lilacvane/internal/scheduler"
	"lilacvane/internal/statement"
	"lilacvane/internal/wait"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

const (
	// planShare is how many times as long as a plan took the next one waits.
	planShare = 3
	// quietShare is the same after a quiet round: with thousands of runners the next one finds
	// what it found.
	quietShare = 15
	// planInterval is how often a plan is made unasked, leastInterval the least
	// time between two plans.
	planInterval  = 200 * time.Millisecond
	leastInterval = 8 * time.Millisecond
	// loadBurst bounds the loads from the weight store begun at once.
	loadBurst = 2
)

// Policies tells how many replicas of a model the operators keep ready, and the
// policy that says so.
type Policies interface {
	Ready(model string, now time.Time) (int, string)
}

// Sleeper tells how long a model without use stays loaded, and whether it is
// likely to be used soon.
type Sleeper interface {
	// Enabled is false when models stay until their room is needed.
	Enabled() bool
	// share is the part of a runner's memory that the model takes.
	KeepAlive(model *config.Model, share float64) time.Duration
	WakeAhead(model *config.Model, share float64, now time.Time) bool
	Observe(model *config.Model, lastUse, now time.Time)
}

// Options are a controller's parts.
type Options struct {
	Service string
	Node    string
	Lessor  *lease.Lessor
	Runners backend.Control
	Fleet   *fleet.Fleet
	// Rules are what operators decided about runners and zones, for what is to last: a
	// zone that is about to be left is out.
	Rules eligible.Rules
	// Statements are what runners stated of themselves in answers; nil where nobody hears.
	Statements *statement.Book
	// Stated tells nodes what runners stated in answers, and is told of it; not set for nobody.
	Stated Stated
	// NeedList is told whether this node needs all runners of the platform's list, as its
	// plans do; not set where it has them anyway.
	NeedList func(needed bool)
	// ListRevision returns the revision up to which all changes of the list are in Fleet; not
	// set where nobody asks.
	ListRevision  func() uint64
	Configuration func() *config.Configuration
	Policies      Policies
	Sleeper       Sleeper
	// ObserveLoad is told how long a load from the weight store took, and how long it
	// was expected to take; not set for nobody.
	ObserveLoad func(took, expected time.Duration)
	// Divide answers a node's report on shared limits while this node holds the lease;
	// not set where another service's holder divides them.
	Divide func(report limit.Report) *limit.Grant
	// Count takes a node's report of runners that ended under its requests.
	Count func(report wire.PoisonReport)
	// Terms returns what holds for the service's cold runners; not set where none is cold.
	Terms func(service string) coldstart.Terms
	// Decide notes a decision about a subject (model/NAME, replica/RUNNER) for
	// operators' questions.
	Decide func(subject, step, reason string)
	Log    logr.Logger
}

// Stated is what runners stated in answers, as one node knows it: that they leave, as long as the
// platform's list does not tell, and their limits. Nodes tell each other by way of the holder.
type Stated interface {
	// Own returns what this node heard itself, All also what it was told of.
	Own() ([]wire.RunnerLeaving, []wire.RunnerLimit)
	All() ([]wire.RunnerLeaving, []wire.RunnerLimit)
	// Learn takes what another node told.
	Learn(node string, leaving []wire.RunnerLeaving, limited []wire.RunnerLimit)
}

// Controller controls the runners of one service. Its methods may be called
// concurrently.
type Controller struct {
	Options
	trigger chan struct{}
	// urgency is signalled when requests begin to wait, or a runner is suspected.
	urgency chan struct{}

	mutex sync.Mutex
	// token is the lease under which the accounts were made; zero for none.
	token   uint64
	version uint64
	// listVersion is that of the list that the accounts follow; listTaken is set once they
	// follow one.
	listVersion uint64
	listTaken   bool
	// recent lists the runners whose accounts changed lately, oldest first.
	recent []recentChange
	// news is, by model, the version of the last change that concerns it, toldAll the
	// version of the last one that concerns every node.
	news    map[string]uint64
	toldAll uint64
	// changed is closed at each change, urgent at those that concern every node.
	changed chan struct{}
	urgent  chan struct{}
	// reported is closed, by node, when the node reports that requests wait.
	reported map[string]chan struct{}
	ledgers  map[string]*orders.Ledger
	intents  map[string]scheduler.Intent
	// planned is when models that are waited for are expected.
	planned map[scheduler.Want]time.Time
	demand  *demandBook
	// lender is the account of permits for cold runners.
	lender  *coldstart.Lender
	limiter *rate.Limiter
	// ends counts the runners that ended as they loaded a model; knownEnds is what an earlier
	// holder counted.
	ends      *orders.Ends
	knownEnds []orders.ModelEnds
	// resting are the models of which requests are told that their loads rest.
	resting map[string]bool
	// store follows the loads from the weight store, storeLoads lists them by
	// runner; known is what an earlier holder learned.
	store      *weightstore.Estimator
	storeLoads map[string]storeLoad
	known      weightstore.Estimate
	floors     map[string]int
	keep       map[string]time.Duration
	rulesAt    time.Time
	// toldYield is the lease of which nodes were told that it was yielded.
	toldYield uint64
	// asking counts the reports that are being asked for.
	asking   int
	inFlight sync.WaitGroup
}

// NewController returns a controller for a service.
func NewController(options Options) *Controller {
	options.Log = options.Log.WithValues("service", options.Service)
	return &Controller{Options: options, trigger: make(chan struct{}, 1), urgency: make(chan struct{}, 1), news: make(map[string]uint64), demand: newDemandBook(),
		changed: make(chan struct{}), urgent: make(chan struct{}), reported: make(map[string]chan struct{}), ends: orders.NewEnds(nil)}
}

// Run works whenever the node holds the lease, until ctx ends.
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
		quiet := true
		if engine := c.engine(); engine != nil {
			quiet = c.tick(ctx, engine)
		}
		c.rest(ctx, time.Since(started), quiet)
		timer.Reset(c.untilDue())
	}
}

// rest pauses after a round that took so long. Requests that begin to wait end the pause of a
// quiet one early.
func (c *Controller) rest(ctx context.Context, took time.Duration, quiet bool) {
	least := max(leastInterval, planShare*took)
	wait.For(ctx, least)
	if !quiet {
		return
	}
	timer := time.NewTimer(max(quietShare*took-least, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.urgency:
	case <-timer.C:
	}
}

// wakeUrgently asks for a plan as soon as may be.
func (c *Controller) wakeUrgently() {
	select {
	case c.urgency <- struct{}{}:
	default:
	}
	c.Wake()
}

// untilDue is the time until the next plan: when a report or an adapter is due, at
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
			pause = min(pause, max(time.Until(due), leastInterval))
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

// tick brings the accounts up to date and carries out one plan. It returns whether the round was
// quiet.
func (c *Controller) tick(ctx context.Context, engine *config.Engine) (quiet bool) {
	select {
	case <-c.urgency:
	default:
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.ownToken(engine) {
		return false
	}
	if !c.Fleet.Whole() {
		// A plan from a part of the runners would load what the others hold.
		c.needList(true)
		return false
	}
	now := time.Now()
	c.takeRunners(engine, now)
	c.askReports(ctx, engine, now)
	for _, ledger := range c.ledgers {
		if ledger.Settle(now) {
			c.changedView(ledger)
		}
	}
	c.followLoads(now)
	if !c.Lessor.Acting() {
		c.tellYield()
		return false
	}
	c.toldYield = 0
	c.setRate(engine)
	state := c.state(engine, now)
	plan := scheduler.MakePlan(state)
	c.intents = plan.Intents
	c.tellPaused(plan.Ready, state, now)
	c.notePlanned(plan.Ready, now)
	c.carryOut(ctx, plan)
	return c.isQuiet(&plan, state)
}

// isQuiet reports whether a plan orders nothing, no request waits, and no runner has a report or
// an adapter due: the next round needs not come soon. mutex is held.
func (c *Controller) isQuiet(plan *scheduler.Plan, state *scheduler.State) bool {
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

// ownToken begins new accounts when the lease was newly taken, and drops them
// when it is lost. mutex is held.
func (c *Controller) ownToken(engine *config.Engine) bool {
	record, _ := c.Lessor.Holder()
	if !c.Lessor.Holds() {
		if c.token != 0 {
			c.known = c.store.Estimate()
			c.knownEnds = c.ends.Known()
			c.needList(false)
			c.Log.Info("control ended", "token", c.token)
		}
		c.token = 0
		return false
	}
	if c.token == record.Token {
		return true
	}
	if c.token != 0 && record.Token == c.token+1 {
		// This process yielded and went on before anybody else took the lease.
		c.Log.Info("control goes on", "token", record.Token)
		c.token = record.Token
		return true
	}
	c.token = record.Token
	c.version = 1
	c.news = make(map[string]uint64)
	c.recent = nil
	c.listTaken = false
	c.toldAll = 0
	c.ledgers = make(map[string]*orders.Ledger)
	c.intents = nil
	c.planned = nil
	c.demand = newDemandBook()
	c.lender = coldstart.NewLender(time.Now())
	c.store = weightstore.New(c.known)
	c.storeLoads = make(map[string]storeLoad)
	c.ends = orders.NewEnds(c.knownEnds)
	// The new holder does not know what the old one loaded last, so its rate
	// starts from nothing.
	c.limiter = rate.NewLimiter(rate.Limit(engine.LoadsPerSecond), loadBurst)
	c.limiter.AllowN(time.Now(), loadBurst)
	c.Log.Info("control begun", "token", c.token, "loadsPerSecond", engine.LoadsPerSecond,
		"storeLimit", c.store.Estimate().Limit, "storeCapacity", c.store.Estimate().Capacity)
	return true
}

func (c *Controller) needList(needed bool) {
	if c.NeedList != nil {
		c.NeedList(needed)
	}
}

func (c *Controller) setRate(engine *config.Engine) {
	if limit := rate.Limit(engine.LoadsPerSecond); c.limiter.Limit() != limit {
		c.limiter.SetLimit(limit)
	}
}
