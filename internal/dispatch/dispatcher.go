package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/crash"
	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/poison"
	"lilacvane/internal/retry"
	"lilacvane/internal/tenant"
	"lilacvane/internal/upstream"
)

const (
	// defaultPatience holds a request whose client and route name no time.
	defaultPatience = 30 * time.Second
	// longestAnswer is how long an answer may take that began in time.
	longestAnswer = 4 * time.Hour
)

// Dispatcher serves requests. Its methods may be called concurrently.
type Dispatcher struct {
	// Node names this node in errors.
	Node   string
	Fleet  *fleet.Fleet
	Pool   *upstream.Pool
	Demand *demand.Book
	Names  upstream.Names
	// Configuration returns the one in force, or nil when none is known yet.
	Configuration func() *config.Configuration
	// Knowledge returns what the configuration is known from; not set where that is not told.
	Knowledge func() Knowledge
	// Fresh returns when what the node knows is not older than the end of its
	// last pause, or cannot be made so.
	Fresh func(ctx context.Context)
	// AwaitReading returns once what came while the node stood still has been read; not set
	// where it never does.
	AwaitReading func()
	Retries      retry.Limits
	// NewsWithin is how long it takes at most until this node hears what operators decide.
	NewsWithin time.Duration
	// Limits decides on requests of tenants; not set where none has a limit.
	Limits Limiter
	// Report reads a runner's report; not set where runners cannot be asked.
	Report func(ctx context.Context, runner backend.Runner) (backend.Report, error)
	// Quarantine knows which requests are not run; not set where all are.
	Quarantine Quarantine
	// Crashes is told what may be signs of a runner's end; not set for nobody.
	Crashes Crashes
	Log     logr.Logger
	// Observe is called at the end of each request.
	Observe func(request string, outcome Outcome)

	// Closing ends when the node is about to stop: requests under way get their
	// final answer.
	Closing context.Context

	mutex   sync.Mutex
	nodes   int
	budgets map[string]*retry.Budget
	splits  map[string]*splitter
	// spools counts what is kept for clients that read slowly.
	spools spools
}

// Quarantine knows the requests under which runners ended.
type Quarantine interface {
	// Idle reports that none is known, so that nobody needs to know what a request holds.
	Idle() bool
	// Refused returns the mark of a request that is not to be run.
	Refused(request poison.Identity) (poison.Mark, bool)
	// Ran tells of a request that ended well.
	Ran(request poison.Identity)
}

// Crashes is told what may be signs of a runner's end.
type Crashes interface {
	// Broke tells of a request whose answer broke off, or never came, and how to find out
	// whether its runner ended.
	Broke(runner backend.Runner, request poison.Identity, way crash.Way)
	// Refused tells of a runner whose address refused a connection.
	Refused(runner string)
}

// assumedNodes is how many nodes share a budget until the number is known.
const assumedNodes = 16

// SetNodes tells how many nodes share the budgets of retries.
func (d *Dispatcher) SetNodes(nodes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes = nodes
	for _, budget := range d.budgets {
		budget.SetNodes(nodes)
	}
}

// nodeCount is how many nodes there are, as far as is known.
func (d *Dispatcher) nodeCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.knownNodes()
}

// knownNodes is nodeCount; mutex is held.
func (d *Dispatcher) knownNodes() int {
	if d.nodes == 0 {
		return assumedNodes
	}
	return d.nodes
}

// SetRetries changes the bounds of the budgets of retries.
func (d *Dispatcher) SetRetries(limits retry.Limits) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.Retries != limits {
		d.Retries = limits
		d.budgets = nil
	}
}

func (d *Dispatcher) budget(service string) *retry.Budget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	budget := d.budgets[service]
	if budget == nil {
		if d.budgets == nil {
			d.budgets = make(map[string]*retry.Budget)
		}
		budget = retry.NewBudget(d.Retries, d.knownNodes(), time.Now)
		d.budgets[service] = budget
	}
	return budget
}

// service picks the service of a request of the route by weight.
func (d *Dispatcher) service(route *config.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.splits == nil {
		d.splits = make(map[string]*splitter)
	}
	split := d.splits[route.Name]
	if split == nil {
		split = &splitter{}
		d.splits[route.Name] = split
	}
	return split.pick(route.Backends)
}

// Serve answers a request. Ending ctx means that the client left.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, request *Request) Outcome {
	j := &job{dispatcher: d, request: request, writer: w, log: d.Log.WithValues("request", request.ID)}
	j.run(ctx)
	j.closeStream(ctx)
	j.outcome.Total = time.Since(request.Arrived)
	j.outcome.Events = j.passed()
	d.logOutcome(&j.outcome, request)
	if d.Observe != nil {
		d.Observe(request.ID, j.outcome)
	}
	return j.outcome
}

func (d *Dispatcher) logOutcome(o *Outcome, request *Request) {
	log := d.Log
	if o.Unplaced != nil {
		log = log.WithValues("unplacedMs", o.Unplaced.At.Milliseconds(), "obstacles", o.Unplaced.Obstacles.Wire())
	}
	if o.Knowledge != nil {
		log = log.WithValues("configurationAgeMs", o.Knowledge.Age.Milliseconds(), "upstream", o.Knowledge.Source)
	}
	log.Info("request ended", "request", request.ID, "result", o.Result, "status", o.Status, "step", o.Step,
		"reason", o.Reason, "route", o.Route, "tenant", string(o.Tenant), "homes", o.Homes.String(), "cost", o.Cost, "admittedBy", o.AdmittedBy, "revision", o.Revision, "unit", request.Unit.String(), "runner", o.Runner,
		"attempts", o.Attempts, "endings", o.Endings, "resumes", o.Resumes, "events", o.Events, "waitedMs", o.Waited.Milliseconds(), "firstMs", o.First.Milliseconds(),
		"totalMs", o.Total.Milliseconds(), "pauseMs", o.Pause.Milliseconds(), "patienceMs", request.Patience.Milliseconds(), "keptTokens", o.KeptTokens,
		"tokensIn", request.TokensIn)
}

// named puts the node's name where an error arose inside this process.
func (d *Dispatcher) named(problem *fault.Error) *fault.Error {
	copied := *problem
	if copied.Peer == fault.Self {
		copied.Peer = d.Node
	}
	return &copied
}

// job is the life of one request. It is used by one goroutine.
type job struct {
	dispatcher *Dispatcher
	request    *Request
	writer     http.ResponseWriter
	log        logr.Logger
	outcome    Outcome

	route *config.Route
	// tenant is whose request it is; nil where nobody needs a key.
	tenant *tenant.Tenant
	// closed is set when callers have keys, which are kept from runners.
	closed   bool
	engine   bool
	query    fleet.Query
	deadline time.Time
	// ran counts attempts that ran or may have run, sent all of them.
	ran  int
	sent int
	// begun is the hedge that goes on with what a silent runner did not.
	begun *hedge
	// last is a runner's failure kept back while another runner is tried.
	last *wholeAnswer
	// restAhead is how many requests waited for a rest to end before this one, endRestWait ends
	// its wait; not set while it waits for none.
	restAhead   int
	endRestWait func()
	// relay is set once a stream's head went out.
	relay *relay
	// identity stands for the content as run by identified, not set before it was asked for;
	// see content.
	identity   poison.Identity
	identified *backend.Unit
}

func (j *job) run(ctx context.Context) {
	j.dispatcher.Fresh(ctx)
	configuration := j.dispatcher.Configuration()
	if configuration == nil {
		j.refuse(fault.New(fault.CodeNotReady, "route request", "no configuration is known yet").WithRetryAfter(defaultReturn))
		return
	}
	j.outcome.Revision = configuration.Revision
	service, found := j.findRoute(configuration)
	if !found {
		j.refuse(j.missing(fault.New(fault.CodeNotFound, "route request", "no route for host %q and path %q", j.request.Host, j.request.Path)))
		return
	}
	j.outcome.Route = j.route.Name
	if problem := j.identify(configuration); problem != nil {
		j.refuse(problem)
		return
	}
	j.query = fleet.Query{Service: service, Homes: j.homes()}
	if problem := j.checkHomes(); problem != nil {
		j.refuse(problem)
		return
	}
	j.engine = configuration.Services[service].Engine != nil
	if j.engine {
		j.query.Unit = j.request.Unit
	}
	if problem := j.quarantined(); problem != nil {
		j.refuse(problem)
		return
	}
	if err := j.admit(ctx); err != nil {
		j.end(ctx, err)
		return
	}
	j.query.Priority, j.query.Objective = j.priority(), j.route.Objective
	if j.engine {
		j.query.Prompt = j.request.Prompt
		j.dispatcher.Demand.Use(demand.Key{Service: service, Unit: j.request.Unit, Homes: j.query.Homes}, j.request.TokensIn)
	}
	j.deadline = j.finalTime()
	j.dispatcher.budget(service).Request()
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errTimeout)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(j.dispatcher.Closing, func() { stop(errClosing) })()
	for j.attempt(ctx) {
	}
}

// missing is the refusal of a request whose route or key the configuration does not have. One that
// is older than news may be does not show that there is none: the request may be tried again.
func (j *job) missing(problem *fault.Error) *fault.Error {
	if j.dispatcher.Knowledge == nil {
		return problem
	}
	known := j.dispatcher.Knowledge()
	j.outcome.Knowledge = &known
	if known.Age <= j.dispatcher.NewsWithin {
		return problem
	}
	return fault.At(fault.CodeNotReady, problem.Step, j.dispatcher.Node, fault.NotDone,
		fault.New(fault.CodeStale, "know configuration", "%s; the store was last heard of %v ago", problem.Message, known.Age.Round(time.Millisecond))).
		WithRetryAfter(defaultReturn)
}

// findRoute sets the request's route and returns its service.
func (j *job) findRoute(configuration *config.Configuration) (service string, found bool) {
	if j.request.Route != nil {
		j.route = j.request.Route
		return j.request.Service, configuration.Services[j.request.Service] != nil
	}
	j.route = configuration.Match(j.request.Host, j.request.Path)
	if j.route == nil {
		return "", false
	}
	return j.dispatcher.service(j.route), true
}

// finalTime is when the request must have its final answer.
func (j *job) finalTime() time.Time {
	hold := j.request.Patience
	if hold == 0 {
		hold = defaultPatience
	}
	if j.request.StartWithin > 0 {
		hold = j.request.StartWithin + longestAnswer
	}
	if j.route.Timeout > 0 && j.route.Timeout < hold {
		hold = j.route.Timeout
	}
	return j.request.Arrived.Add(hold)
}
