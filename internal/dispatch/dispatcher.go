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
	"lilacvane/internal/origin"
	"lilacvane/internal/overload"
	"lilacvane/internal/poison"
	"lilacvane/internal/retry"
	"lilacvane/internal/stop"
	"lilacvane/internal/tenant"
	"lilacvane/internal/upstream"
)

const (
	// defaultPatience is how long a request waits whose client and route give no time.
	defaultPatience = 30 * time.Second
	// maxAnswerTime is how long an answer that began in time may take.
	maxAnswerTime = 4 * time.Hour
)

// Dispatcher serves requests. Its methods may be called concurrently.
type Dispatcher struct {
	// Node names this node in errors.
	Node    string
	Fleet   *fleet.Fleet
	Pool    *upstream.Pool
	Demand  *demand.Tracker
	Headers upstream.HeaderNames
	// Configuration returns the configuration in force, or nil when none is known yet.
	Configuration func() *config.Configuration
	// ConfigurationOrigin returns the age and the source of the configuration; nil where that is
	// not reported.
	ConfigurationOrigin func() ConfigurationOrigin
	// AwaitFresh returns when the node's data is not older than the end of its last stall, or
	// cannot be refreshed.
	AwaitFresh func(ctx context.Context)
	// AwaitPendingReads returns once everything that arrived while the node was stalled has been
	// read; nil where the node never stalls.
	AwaitPendingReads func()
	// PausedSince reports whether the process was paused since a time, so that what it reads may have
	// arrived long before; nil where it never is.
	PausedSince func(t time.Time) bool
	// Allowance returns how much longer than usual runners may seem to take because this node is late
	// with its own work: a shorter silence says nothing of them.
	Allowance overload.Allowance
	Retries   retry.Limits
	// MaxPropagationDelay is how long it takes at most until this node learns of operators'
	// decisions.
	MaxPropagationDelay time.Duration
	// Limits decides whether requests are within their tenants' limits; nil where no tenant has
	// one.
	Limits Limiter
	// Report reads a runner's report; nil where runners give none.
	Report func(ctx context.Context, runner backend.Runner) (backend.Report, error)
	// Alive asks for a runner's health at a path, as the configuration gives it. It returns nil if the incarnation
	// answers and fault.CodeNotFound if another one does; nil where runners have no health checks.
	Alive func(ctx context.Context, runner backend.Runner, path string) error
	// Quarantine decides which requests must not run; nil where all may.
	Quarantine Quarantine
	// Crashes receives possible signs of a runner's crash; nil for none.
	Crashes Crashes
	// Origins knows which builds began streams; nil where streams are not resumed by clients.
	Origins Origins
	Log     logr.Logger
	// Observe is called at the end of each request.
	Observe func(request string, outcome Outcome)

	// Stop says whether the node stops, and by which schedule.
	Stop stop.State
	// Closing ends when the node is about to stop: requests in progress get their final answer. It is nil
	// where that is not told.
	Closing context.Context

	mutex     sync.Mutex
	budgets   map[string]*retry.Budget
	splitters map[string]*splitter
	// spooled counts the bytes kept for clients that read slowly.
	spooled spoolUsage
	// durations holds how long the latest requests of each route took.
	durations durations
	// answers counts the memory of answers that are not complete.
	answers answerMemory
}

// Quarantine tracks the requests that crashed runners.
type Quarantine interface {
	// Idle reports that no such request is known, so that no content identity needs to be computed.
	Idle() bool
	// Check decides whether a request with a content and the parts of its prompt may be sent to a runner.
	Check(content poison.Identity, parts []poison.Identity) poison.Decision
	// Trial asks to send a request that is held to a runner. If that is not granted, retryAfter is when to
	// ask again. TrialEnded says that the trial is over, and its runner goes on.
	Trial(ctx context.Context, held []poison.Identity, runner string) (granted bool, retryAfter time.Duration)
	TrialEnded(held []poison.Identity, runner string)
	// Controlled reports a request of a service that succeeded, with the names of the parts of its
	// prompt that others share.
	Controlled(service string, parts []string)
	// Succeeded reports a request that succeeded. It returns whether crashes under it were known,
	// which no longer count.
	Succeeded(request poison.Identity) (cleared bool)
}

// Crashes receives possible signs of a runner's crash.
type Crashes interface {
	// Interrupted reports a request whose answer broke off or never came, and how to find out
	// whether its runner crashed.
	Interrupted(runner backend.Runner, request crash.Request, method crash.ProbeMethod)
	// Refused reports a runner whose address refused a connection.
	Refused(runner string)
}

// Origins knows which build of the runners' software began each stream.
type Origins interface {
	// Began records that a runner of a build brought the first event of a stream.
	Began(service string, stream origin.Stream, build backend.Build)
	// Ended records that a stream came to its end.
	Ended(stream origin.Stream)
	// Find returns what is known of the origin of a stream.
	Find(ctx context.Context, service string, stream origin.Stream) origin.Origin
}

// SetNodes sets how many nodes send requests, each of which has its part of what runners take and of
// the retry budgets.
func (d *Dispatcher) SetNodes(nodes int) {
	d.Fleet.SetNodes(nodes)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, budget := range d.budgets {
		budget.SetNodes(nodes)
	}
}

// SetRetries changes the limits of the retry budgets.
func (d *Dispatcher) SetRetries(limits retry.Limits) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.Retries != limits {
		d.Retries = limits
		d.budgets = nil
	}
}

// retryBudget returns this node's retry budget of a service, which it creates on first use.
func (d *Dispatcher) retryBudget(service string) *retry.Budget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	budget := d.budgets[service]
	if budget == nil {
		if d.budgets == nil {
			d.budgets = make(map[string]*retry.Budget)
		}
		budget = retry.NewBudget(d.Retries, d.Fleet.Nodes(), time.Now)
		d.budgets[service] = budget
	}
	return budget
}

// pickService picks the service of a request of the route by weight.
func (d *Dispatcher) pickService(route *config.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.splitters == nil {
		d.splitters = make(map[string]*splitter)
	}
	split := d.splitters[route.Name]
	if split == nil {
		split = &splitter{}
		d.splitters[route.Name] = split
	}
	return split.pick(route.Backends)
}

// Serve answers a request. Canceling ctx means that the client left.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, request *Request) Outcome {
	j := d.newJob(w, request)
	j.run(ctx)
	j.closeStream(ctx)
	return j.finish()
}

func (d *Dispatcher) newJob(w http.ResponseWriter, request *Request) *job {
	return &job{dispatcher: d, request: request, writer: w, log: d.Log.WithValues("request", request.ID)}
}

// finish records and logs the end of the request.
func (j *job) finish() Outcome {
	j.record()
	j.dispatcher.logOutcome(&j.outcome, j.request)
	return j.outcome
}

// record records the end of the request.
func (j *job) record() {
	d := j.dispatcher
	j.heldFailure.release()
	j.outcome.Total = time.Since(j.request.Arrived)
	j.outcome.Events = j.forwarded()
	if j.outcome.Result == ResultServed && isSuccess(j.outcome.Status) && j.request.ResumeAfter == "" {
		d.durations.observe(j.outcome.Route, j.outcome.Total-j.outcome.Placed)
	}
	j.recordStop(time.Now())
	if d.Observe != nil {
		d.Observe(j.request.ID, j.outcome)
	}
}

// logOutcome writes the log line of a request that ended.
func (d *Dispatcher) logOutcome(o *Outcome, request *Request) {
	log := d.Log
	if o.Unplaced != nil {
		log = log.WithValues("unplacedMs", o.Unplaced.At.Milliseconds(), "obstacles", o.Unplaced.Obstacles.Wire())
	}
	if o.ConfigurationOrigin != nil {
		log = log.WithValues("configurationAgeMs", o.ConfigurationOrigin.Age.Milliseconds(), "upstream", o.ConfigurationOrigin.Source)
	}
	if o.Stop != nil {
		log = log.WithValues("readInStop", string(o.Stop.Phase), "readAfterStopMs", o.Stop.Read.Milliseconds(), "endedAfterStopMs", o.Stop.Ended.Milliseconds(),
			"idleMs", o.Stop.Idle.Milliseconds(), "cut", o.Stop.Cut)
	}
	log.Info("request ended", "request", request.ID, "result", o.Result, "status", o.Status, "step", o.Step,
		"reason", o.Reason, "route", o.Route, "tenant", string(o.Tenant), "homes", o.Homes.String(), "cost", o.Cost, "admittedBy", o.AdmittedBy, "revision", o.Revision, "unit", request.Unit.String(), "runner", o.Runner, "build", string(o.Build), "continues", request.Resumes, "via", o.Via,
		"framing", string(o.Framing), "signed", o.Signed, "completeness", string(o.Completeness), "unfinishedBytes", o.UnfinishedBytes,
		"attempts", o.Attempts, "endings", o.Endings, "resumes", o.Resumes, "events", o.Events, "waitedMs", o.Waited.Milliseconds(), "firstMs", o.First.Milliseconds(),
		"totalMs", o.Total.Milliseconds(), "pauseMs", o.Pause.Milliseconds(), "patienceMs", request.Patience.Milliseconds(), "keptTokens", o.KeptTokens,
		"tokensIn", request.TokensIn)
}

// withNodeName puts the node's name into an error that arose in this process.
func (d *Dispatcher) withNodeName(problem *fault.Error) *fault.Error {
	copied := *problem
	if copied.Peer == fault.Self {
		copied.Peer = d.Node
	}
	return &copied
}

// job serves one request. It is used by one goroutine.
type job struct {
	dispatcher *Dispatcher
	request    *Request
	writer     http.ResponseWriter
	log        logr.Logger
	outcome    Outcome

	route *config.Route
	// tenant is the tenant that sent the request; nil where no key is needed.
	tenant *tenant.Tenant
	// keysRequired is set when callers have keys, which must not reach runners.
	keysRequired bool
	engine       bool
	// healthPath is the path of the service's health checks; empty for none.
	healthPath string
	query      fleet.Query
	deadline   time.Time
	// ran counts attempts that ran or may have run, sent all of them.
	ran  int
	sent int
	// pathsOutside is set once a runner was reached only through nodes outside the request's homes.
	pathsOutside bool
	// takeover is the hedge that takes over from a silent runner.
	takeover *hedge
	// trial are the content and the parts that are held, while the request is tried alone; nil if it is not.
	trial []poison.Identity
	// heldLong is set once the request was held for as long as it may wait.
	heldLong bool
	// heldFailure is a runner's failure held back while another runner is tried.
	heldFailure *bufferedAnswer
	// queuedAhead is how many requests waited for the end of a runner's rest before this one,
	// leaveQueue ends its wait; nil while it waits for none.
	queuedAhead int
	leaveQueue  func()
	// stream is set once the head of a stream was sent.
	stream *clientStream
	// identity is the request's content identity for the unit identityUnit, which is nil until
	// identityFor has computed it. identityMutex guards both.
	identityMutex sync.Mutex
	identity      poison.Identity
	identityUnit  *backend.Unit
	// parts are the identities of the shared parts of the prompt, once computed; guarded by
	// identityMutex.
	parts []poison.Identity
}

// run serves the request until its final answer.
func (j *job) run(ctx context.Context) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if closing := j.dispatcher.Closing; closing != nil {
		defer context.AfterFunc(closing, func() { stop(errClosing) })()
	}
	j.dispatcher.AwaitFresh(ctx)
	configuration := j.dispatcher.Configuration()
	if configuration == nil {
		j.refuse(fault.New(fault.CodeNotReady, "route request", "no configuration is known yet").WithRetryAfter(defaultRetryAfter))
		return
	}
	j.outcome.Revision = configuration.Revision
	service, found := j.findRoute(configuration)
	if !found {
		j.refuse(j.notConfigured(fault.New(fault.CodeNotFound, "route request", "no route for host %q and path %q", j.request.Host, j.request.Path)))
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
	j.engine, j.healthPath = configuration.Services[service].Engine != nil, configuration.Services[service].HealthPath
	if j.engine {
		j.query.Unit = j.request.Unit
	}
	if problem := j.quarantined(); problem != nil {
		j.refuse(problem)
		return
	}
	j.deadline = j.request.due(j.route)
	if problem := j.bindToOrigin(ctx); problem != nil {
		j.refuse(problem)
		return
	}
	if problem := j.checkStop(); problem != nil {
		j.refuse(problem)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errTimeout)
	defer cancel()
	if err := j.admit(ctx); err != nil {
		j.end(ctx, err)
		return
	}
	j.query.Priority, j.query.Objective = j.priority(), j.route.Objective
	if j.engine {
		j.query.Prompt = j.request.Prompt
		j.dispatcher.Demand.Use(demand.Key{Service: service, Unit: j.request.Unit, Homes: j.query.Homes}, j.request.TokensIn)
	}
	j.dispatcher.retryBudget(service).RecordRequest()
	for j.attempt(ctx) {
	}
}

// notConfigured returns the refusal of a request whose route or key is not in the configuration. A
// configuration older than MaxPropagationDelay does not prove that there is none: the request may
// be tried again.
func (j *job) notConfigured(problem *fault.Error) *fault.Error {
	if j.dispatcher.ConfigurationOrigin == nil {
		return problem
	}
	origin := j.dispatcher.ConfigurationOrigin()
	j.outcome.ConfigurationOrigin = &origin
	if origin.Age <= j.dispatcher.MaxPropagationDelay {
		return problem
	}
	return fault.At(fault.CodeNotReady, problem.Step, j.dispatcher.Node, fault.NotDone,
		fault.New(fault.CodeStale, "know configuration", "%s; the store was last heard of %v ago", problem.Message, origin.Age.Round(time.Millisecond))).
		WithRetryAfter(defaultRetryAfter)
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
	return j.dispatcher.pickService(j.route), true
}
