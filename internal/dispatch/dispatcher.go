package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/config"
	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/retry"
	"lilacvane/internal/upstream"
)

// defaultPatience holds a request whose client and route name no time.
const defaultPatience = 30 * time.Second

// Dispatcher serves requests. Its methods may be called concurrently.
type Dispatcher struct {
	Fleet  *fleet.Fleet
	Pool   *upstream.Pool
	Demand *demand.Book
	Names  upstream.Names
	// Configuration returns the one in force, or nil when none is known yet.
	Configuration func() *config.Configuration
	Retries       retry.Limits
	Log           logr.Logger
	// Observe is called at the end of each request.
	Observe func(Outcome)

	// Closing ends when the node is about to stop: requests under way get their
	// final answer.
	Closing context.Context

	mutex   sync.Mutex
	nodes   int
	budgets map[string]*retry.Budget
	splits  map[string]*splitter
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
		nodes := d.nodes
		if nodes == 0 {
			nodes = assumedNodes
		}
		if d.budgets == nil {
			d.budgets = make(map[string]*retry.Budget)
		}
		budget = retry.NewBudget(d.Retries, nodes, time.Now)
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
	j.outcome.Total = time.Since(request.Arrived)
	d.logOutcome(&j.outcome, request)
	if d.Observe != nil {
		d.Observe(j.outcome)
	}
	return j.outcome
}

func (d *Dispatcher) logOutcome(o *Outcome, request *Request) {
	d.Log.Info("request ended", "request", request.ID, "result", o.Result, "status", o.Status, "step", o.Step,
		"reason", o.Reason, "route", o.Route, "revision", o.Revision, "unit", request.Unit.String(), "runner", o.Runner,
		"attempts", o.Attempts, "resumes", o.Resumes, "waitedMs", o.Waited.Milliseconds(), "firstMs", o.First.Milliseconds(),
		"totalMs", o.Total.Milliseconds(), "patienceMs", request.Patience.Milliseconds(), "keptTokens", o.KeptTokens,
		"tokensIn", request.TokensIn)
}

// job is the life of one request. It is used by one goroutine.
type job struct {
	dispatcher *Dispatcher
	request    *Request
	writer     http.ResponseWriter
	log        logr.Logger
	outcome    Outcome

	route    *config.Route
	engine   bool
	query    fleet.Query
	deadline time.Time
	// ran counts attempts that ran or may have run, sent all of them.
	ran  int
	sent int
	// last is a runner's failure kept back while another runner is tried.
	last *wholeAnswer
	// relay is set once a stream's head went out.
	relay *relay
}

func (j *job) run(ctx context.Context) {
	configuration := j.dispatcher.Configuration()
	if configuration == nil {
		j.refuse(fault.New(fault.CodeNotReady, "route request", "no configuration is known yet").WithRetryAfter(defaultReturn))
		return
	}
	j.outcome.Revision = configuration.Revision
	j.route = configuration.Match(j.request.Host, j.request.Path)
	if j.route == nil {
		j.refuse(fault.New(fault.CodeNotFound, "route request", "no route for host %q and path %q", j.request.Host, j.request.Path))
		return
	}
	j.outcome.Route = j.route.Name
	service := j.dispatcher.service(j.route)
	j.engine = configuration.Services[service].Engine != nil
	j.query = fleet.Query{Service: service}
	if j.engine {
		j.query.Unit = j.request.Unit
		j.query.Prompt = j.request.Prompt
		j.dispatcher.Demand.Use(demand.Key{Service: service, Unit: j.request.Unit}, j.request.TokensIn+tokenWeight*j.request.TokensOut)
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

// tokenWeight is the cost of a token written, in tokens read.
const tokenWeight = 10

// finalTime is when the request must have its final answer.
func (j *job) finalTime() time.Time {
	hold := j.request.Patience
	if hold == 0 {
		hold = defaultPatience
	}
	if j.route.Timeout > 0 && j.route.Timeout < hold {
		hold = j.route.Timeout
	}
	return j.request.Arrived.Add(hold)
}
