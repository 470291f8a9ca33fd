// Package control is the work of the node that holds a service's control lease:
// it gathers the nodes' demand, keeps the runners' accounts, plans, and gives
// orders. Every node runs a Controller; it works only while its node holds the
// lease.
package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/lease"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
)

const (
	// OrderTimeout bounds one order.
	OrderTimeout = 400 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
	// reportRetry is the time until a runner that did not report is asked again.
	reportRetry = 500 * time.Millisecond
	// maximumReports bounds the reports asked for at once.
	maximumReports = 24
	// planShare is how many times as long as a plan took the next one waits.
	planShare = 3
	// recentView is how long a change of a runner is told to nodes that did not
	// hear of it; by then the platform's list tells it.
	recentView = 8 * time.Second
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
	Service       string
	Node          string
	Lessor        *lease.Lessor
	Runners       backend.Control
	Fleet         *fleet.Fleet
	Configuration func() *config.Configuration
	Policies      Policies
	Sleeper       Sleeper
	// Decide notes a decision about a subject (model/NAME, replica/RUNNER) for
	// operators' questions.
	Decide func(subject, step, reason string)
	Log    logr.Logger
}

// Controller controls the runners of one service. Its methods may be called
// concurrently.
type Controller struct {
	Options
	trigger chan struct{}

	mutex sync.Mutex
	// token is the lease under which the accounts were made; zero for none.
	token   uint64
	version uint64
	changed chan struct{}
	ledgers map[string]*orders.Ledger
	intents map[string]scheduler.Intent
	demand  *demandBook
	limiter *rate.Limiter
	floors  map[string]int
	keep    map[string]time.Duration
	rulesAt time.Time
	// asking counts the reports that are being asked for.
	asking   int
	inFlight sync.WaitGroup
}

// NewController returns a controller for a service.
func NewController(options Options) *Controller {
	options.Log = options.Log.WithValues("service", options.Service)
	return &Controller{Options: options, trigger: make(chan struct{}, 1), changed: make(chan struct{})}
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
		if engine := c.engine(); engine != nil {
			c.tick(ctx, engine)
		}
		sleep(ctx, max(leastInterval, planShare*time.Since(started)))
		timer.Reset(c.untilDue())
	}
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
	for _, ledger := range c.ledgers {
		if due := ledger.NextDue(); !due.IsZero() && !ledger.Runner.Draining {
			pause = min(pause, max(time.Until(due), leastInterval))
		}
	}
	return pause
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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

// tick brings the accounts up to date and carries out one plan.
func (c *Controller) tick(ctx context.Context, engine *config.Engine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.ownToken(engine) {
		return
	}
	now := time.Now()
	c.takeRunners(engine, now)
	c.askReports(ctx, now)
	for _, ledger := range c.ledgers {
		if ledger.Settle(now) {
			c.changedView(ledger)
		}
	}
	if !c.Lessor.Acting() {
		return
	}
	c.setRate(engine)
	state := c.state(engine, now)
	plan := scheduler.MakePlan(state)
	c.intents = plan.Intents
	c.carryOut(ctx, plan)
}

// ownToken begins new accounts when the lease was newly taken, and drops them
// when it is lost. mutex is held.
func (c *Controller) ownToken(engine *config.Engine) bool {
	record, _ := c.Lessor.Holder()
	if !c.Lessor.Holds() {
		if c.token != 0 {
			c.Log.Info("control ended", "token", c.token)
		}
		c.token = 0
		return false
	}
	if c.token == record.Token {
		return true
	}
	c.token = record.Token
	c.version = 1
	c.ledgers = make(map[string]*orders.Ledger)
	c.intents = nil
	c.demand = newDemandBook()
	// The new holder does not know what the old one loaded last, so its rate
	// starts from nothing.
	c.limiter = rate.NewLimiter(rate.Limit(engine.LoadsPerSecond), loadBurst)
	c.limiter.AllowN(time.Now(), loadBurst)
	c.Log.Info("control begun", "token", c.token, "loadsPerSecond", engine.LoadsPerSecond)
	return true
}

func (c *Controller) setRate(engine *config.Engine) {
	if limit := rate.Limit(engine.LoadsPerSecond); c.limiter.Limit() != limit {
		c.limiter.SetLimit(limit)
	}
}

// takeRunners follows the platform's list. While replicas are bounded each runner
// has to tell itself what it loads. mutex is held.
func (c *Controller) takeRunners(engine *config.Engine, now time.Time) {
	bounded := engine.Bounded()
	listed := make(map[string]bool)
	for _, runner := range c.Fleet.Runners(c.Service) {
		listed[runner.ID] = true
		ledger := c.ledgers[runner.ID]
		if ledger == nil {
			ledger = orders.NewLedger(runner)
			c.ledgers[runner.ID] = ledger
		}
		ledger.Listed(runner, now)
		if bounded {
			ledger.Confirm(now)
		}
	}
	for id := range c.ledgers {
		if !listed[id] {
			delete(c.ledgers, id)
		}
	}
}

// askReports asks the runners whose state may have changed. mutex is held.
func (c *Controller) askReports(ctx context.Context, now time.Time) {
	for _, ledger := range c.ledgers {
		if c.asking >= maximumReports {
			return
		}
		if ledger.Runner.Draining || !ledger.WantsReport(now) {
			continue
		}
		c.asking++
		c.inFlight.Add(1)
		go c.askReport(ctx, c.token, ledger.Runner)
	}
}

func (c *Controller) askReport(ctx context.Context, token uint64, runner backend.Runner) {
	defer c.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := c.Runners.Report(ctx, runner)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asking--
	ledger := c.ledgers[runner.ID]
	if c.token != token || ledger == nil {
		return
	}
	if err != nil {
		ledger.ReportFailed(time.Now(), reportRetry)
		c.Log.Info("report missing", "runner", runner.ID, "error", err.Error())
		return
	}
	if ledger.Reported(report, asked, time.Now()) {
		c.changedView(ledger)
		c.Log.Info("runner reported", "runner", runner.ID, "sequence", report.Sequence, "busy", report.Busy, "models", len(report.Models),
			"active", report.Active, "queued", report.Queued)
	}
	c.Wake()
}

// changedView makes a runner's new account known to waiting nodes. mutex is
// held.
func (c *Controller) changedView(ledger *orders.Ledger) {
	c.version++
	ledger.Version = c.version
	ledger.ChangedAt = time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
}

// state builds the scheduler's input. mutex is held.
func (c *Controller) state(engine *config.Engine, now time.Time) *scheduler.State {
	running := c.demand.running(now)
	demand := c.demand.units(now)
	c.applyRules(engine, demand, now)
	state := &scheduler.State{
		Now: now, Engine: engine, Demand: demand, Intents: c.intents, Loads: int(c.limiter.TokensAt(now)),
		Floors: c.floors, KeepAlive: c.keep,
	}
	configuration := c.Configuration()
	for id, ledger := range c.ledgers {
		if !ledger.Confirmed() {
			// The list does not tell what the runner is loading.
			state.Unknown++
		}
		if !ledger.Known() || ledger.Runner.Draining {
			continue
		}
		runner := describe(id, ledger, engine, running[id], now)
		runner.Drained = configuration.Drained(id, ledger.Runner.Zone)
		state.Runners = append(state.Runners, runner)
	}
	return state
}

// rulesInterval is how often policies and keep-alive times are looked up.
const rulesInterval = time.Second

// applyRules brings the policies' floors and the keep-alive times up to date.
// mutex is held.
func (c *Controller) applyRules(engine *config.Engine, demand map[backend.Unit]*scheduler.Demand, now time.Time) {
	if now.Sub(c.rulesAt) < rulesInterval {
		return
	}
	c.rulesAt = now
	c.floors = make(map[string]int)
	c.keep = make(map[string]time.Duration)
	for name, model := range engine.Models {
		if floor, _ := c.Policies.Ready(nameOf(model), now); floor > 0 && model.Active {
			c.floors[name] = boundedBy(floor, model.MaximumReplicas)
		}
		if !c.Sleeper.Enabled() {
			continue
		}
		if used := demand[backend.Unit{Model: name}]; used != nil {
			c.Sleeper.Observe(model, used.LastUse, now)
		}
		share := model.Size / engine.ModelMemory
		c.keep[name] = c.Sleeper.KeepAlive(model, share)
		if c.floors[name] == 0 && model.Active && model.MaximumReplicas != 0 && c.Sleeper.WakeAhead(model, share, now) {
			c.floors[name] = 1
		}
	}
}

// nameOf is the name by which policies select a model.
func nameOf(model *config.Model) string {
	if model.Object != "" {
		return model.Object
	}
	return model.Name
}

func boundedBy(floor, replicas int) int {
	if replicas == config.Unlimited {
		return floor
	}
	return min(floor, replicas)
}

// Describe lists the runners and the nodes that reported lately.
func (c *Controller) Describe() (wire.FleetResponse, error) {
	engine := c.engine()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 || engine == nil {
		return wire.FleetResponse{}, fault.New(fault.CodeNotHolder, "describe fleet", "this node does not hold the lease of %s", c.Service)
	}
	now := time.Now()
	response := wire.FleetResponse{Members: c.demand.members(now)}
	running := c.demand.running(now)
	configuration := c.Configuration()
	for _, id := range slices.Sorted(maps.Keys(c.ledgers)) {
		ledger := c.ledgers[id]
		drained := configuration.Drained(id, ledger.Runner.Zone)
		response.Runners = append(response.Runners, statusOf(id, ledger, engine, running[id], drained))
	}
	for index := range response.Members {
		if response.Members[index].Node == c.Node {
			response.Members[index].Holds = []string{c.Service}
		}
	}
	return response, nil
}

// carryOut sends the orders of a plan. mutex is held.
func (c *Controller) carryOut(ctx context.Context, plan scheduler.Plan) {
	chains := make(map[string][]scheduler.Step)
	for _, step := range plan.Steps {
		chains[step.Runner] = append(chains[step.Runner], step)
	}
	for runner, steps := range chains {
		ledger := c.ledgers[runner]
		order, ok := c.begin(ledger, steps[0])
		if !ok {
			continue
		}
		c.inFlight.Add(1)
		go c.sendChain(ctx, c.token, ledger, order, steps)
	}
}

// begin notes a step as being sent. The lease is checked here, right before.
// mutex is held.
func (c *Controller) begin(ledger *orders.Ledger, step scheduler.Step) (backend.Order, bool) {
	if !ledger.Confirm(time.Now()) {
		c.Wake()
		return backend.Order{}, false
	}
	token, ok := c.Lessor.Act()
	if !ok || token != c.token || !ledger.MayOrder(step.Unit, time.Now()) {
		return backend.Order{}, false
	}
	if step.FromStore && !c.limiter.Allow() {
		return backend.Order{}, false
	}
	return ledger.Begin(step.Action, step.Unit, c.Node, token), true
}

// sendChain sends a runner's orders one after the other, as long as each is
// accepted.
func (c *Controller) sendChain(ctx context.Context, token uint64, ledger *orders.Ledger, order backend.Order, steps []scheduler.Step) {
	defer c.inFlight.Done()
	for i := range steps {
		if !c.send(ctx, token, ledger, order, steps[i]) || i+1 == len(steps) {
			break
		}
		c.mutex.Lock()
		next, ok := c.begin(ledger, steps[i+1])
		c.mutex.Unlock()
		if !ok {
			break
		}
		order = next
	}
	c.Wake()
}

func (c *Controller) send(ctx context.Context, token uint64, ledger *orders.Ledger, order backend.Order, step scheduler.Step) bool {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	c.mutex.Lock()
	runner := ledger.Runner
	c.mutex.Unlock()
	start := time.Now()
	verdict, err := c.Runners.Order(ctx, runner, order)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ledger.End(order, verdict, now, now.Add(step.Expected))
	if c.token == token {
		c.changedView(ledger)
	}
	fields := []any{"runner", runner.ID, "action", string(order.Action), "unit", order.Unit.String(), "expected", order.Expected,
		"token", order.Token, "verdict", verdict.String(), "reason", step.Reason, "fromStore", step.FromStore,
		"dueMs", step.Expected.Milliseconds(), "elapsedMs", now.Sub(start).Milliseconds()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	c.Log.Info("order", fields...)
	what := string(order.Action) + " " + order.Unit.String() + " at " + runner.ID + ": " + verdict.String() + " (" + step.Reason + ")"
	c.Decide("model/"+order.Unit.Model, "order "+string(order.Action), what)
	c.Decide("replica/"+runner.ID, "order "+string(order.Action), what)
	return verdict == backend.Accepted || verdict == backend.AlreadyHeld
}

// Sync answers a node's demand with what changed since the account it has.
func (c *Controller) Sync(ctx context.Context, request wire.SyncRequest) (wire.SyncResponse, error) {
	c.mutex.Lock()
	if c.token == 0 {
		c.mutex.Unlock()
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "this node does not hold the lease of %s", request.Service)
	}
	urgent := c.demand.report(request, time.Now())
	c.mutex.Unlock()
	if urgent {
		c.Wake()
	}
	c.waitChange(ctx, request)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 {
		return wire.SyncResponse{}, fault.New(fault.CodeNotHolder, "sync", "the lease of %s was lost", request.Service)
	}
	return c.account(request), nil
}

// waitChange waits until there is something new for the node, at most for the
// time it names.
func (c *Controller) waitChange(ctx context.Context, request wire.SyncRequest) {
	if request.HoldMs <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(min(request.HoldMs, maximumHoldMs))*time.Millisecond)
	defer cancel()
	for {
		c.mutex.Lock()
		news := c.token != request.Token || c.version > request.Version
		changed := c.changed
		c.mutex.Unlock()
		if news {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

const maximumHoldMs = 5000

// account lists the runners that changed lately and since the node's account; the
// platform's list tells of the others. mutex is held.
func (c *Controller) account(request wire.SyncRequest) wire.SyncResponse {
	now := time.Now()
	response := wire.SyncResponse{Token: c.token, Version: c.version, Nodes: c.demand.nodes(now)}
	known := request.Version
	if request.Token != c.token {
		known = 0
	}
	for id, ledger := range c.ledgers {
		if ledger.Known() && ledger.Version > known && now.Sub(ledger.ChangedAt) < recentView {
			response.Runners = append(response.Runners, viewOf(id, ledger, now))
		}
	}
	return response
}
