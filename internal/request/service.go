package request

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/claims"
	"lilacvane/internal/decision"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

const (
	demandWaiting   = 200 * time.Millisecond
	demandIdle      = 10 * time.Second
	demandTimeout   = 2 * time.Second
	sweepEvery      = 5 * time.Second
	retriesASecond  = 20
	retryBurst      = 100
	resumeTries     = 5
	resumePause     = 200 * time.Millisecond
	cancelTimeout   = 2 * time.Second
	noReplicaRetry  = 10 * time.Second
	loadMiBASecond  = 1024
	firstChunkGrace = time.Second
)

// Request is one admitted call.
type Request struct {
	ID       string
	Unit     string
	Class    api.Class
	Deadline time.Time
	// Key is the idempotency key of a request that may not be repeated.
	Key    string
	Path   string
	Body   []byte
	Prefix string
}

// Sink takes the answer as it comes, in order and without gaps.
type Sink interface {
	// Chunk takes one part. An error means that the caller went away.
	Chunk(engine.Chunk) error
}

// Timings tells where a request's time went, in milliseconds since it arrived;
// -1 for a step it did not reach.
type Timings struct {
	Cold    bool   `json:"cold"`
	Claimed int64  `json:"claimedMs"`
	Placed  int64  `json:"placedMs"`
	First   int64  `json:"firstMs"`
	Done    int64  `json:"doneMs"`
	Runner  string `json:"runner"`
	Tries   int    `json:"tries"`
	Resumes int    `json:"resumes"`
}

// Demand reports demand to a unit's coordinator.
type Demand interface {
	Send(ctx context.Context, report wire.DemandReport) (wire.UnitStatus, error)
}

// Claimer claims idempotency keys.
type Claimer interface {
	Claim(ctx context.Context, key, attempt string) (*claims.Claim, error)
}

// Freshness makes sure the configuration is not older than what could be known.
type Freshness interface {
	Fresh(ctx context.Context)
	// Ask compares with others now, if it did not do so very lately.
	Ask(ctx context.Context)
}

// Observer hears of each request's end, for metrics.
type Observer interface {
	// Finished is called once for each request; err is nil when it was served.
	Finished(request Request, timings Timings, err *fault.Error)
}

// Dependencies are the parts of a node that serving uses.
type Dependencies struct {
	Catalog   *catalog.Catalog
	Demand    Demand
	Claims    Claimer
	Freshness Freshness
	Dialer    func(address string) engine.Inference
	Observer  Observer
	Log       *decision.Log
	Logger    logr.Logger
	Node      string
	// Region is this node's region, whose runners are preferred.
	Region  string
	Address string
	// Context ends when the node stops.
	Context context.Context
}

// Service serves requests. It is safe for concurrent use.
type Service struct {
	Dependencies
	retries *rate.Limiter

	mutex      sync.Mutex
	throttlers map[string]*Throttler
	running    int
}

// NewService returns a service without requests.
func NewService(d Dependencies) *Service {
	return &Service{Dependencies: d, retries: rate.NewLimiter(retriesASecond, retryBurst), throttlers: make(map[string]*Throttler)}
}

// Running is the number of requests that have not reached their final outcome.
func (s *Service) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// Serve carries a request to its final outcome. A nil error means that the whole
// answer went to the sink; an error tells whether the request ran.
func (s *Service) Serve(ctx context.Context, r Request, sink Sink) (Timings, error) {
	s.count(1)
	defer s.count(-1)
	started := time.Now()
	timings := Timings{Claimed: -1, Placed: -1, First: -1, Done: -1}
	job := &job{
		service: s, request: r, sink: sink, started: started, timings: &timings,
		lifecycle: Lifecycle{Once: r.Key != ""},
	}
	err := job.run(ctx)
	timings.Done = time.Since(started).Milliseconds()
	var failure *fault.Error
	if err != nil {
		failure = fault.From(err, "serve")
		err = failure
	}
	s.note(r, timings, failure)
	s.Observer.Finished(r, timings, failure)
	return timings, err
}

func (s *Service) note(r Request, timings Timings, failure *fault.Error) {
	reason := "served by runner " + timings.Runner
	if failure != nil {
		reason = failure.Error() + "; ran: " + failure.Ran.String()
	}
	s.Log.Add("request/"+r.ID, "final outcome", reason, s.Catalog.Revision())
	if failure == nil {
		return
	}
	s.Logger.Info("request not served", "step", failure.Step, "peer", failure.Peer, "request", r.ID, "model", r.Unit,
		"code", failure.Code, "ran", failure.Ran.String(), "revision", s.Catalog.Revision())
}

func (s *Service) count(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += change
}

// throttler returns the unit's throttler and starts its demand reports.
func (s *Service) throttler(unit catalog.Unit) *Throttler {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.throttlers[unit.Name]
	if !ok {
		guess := time.Duration(unit.MemoryMiB) * time.Second / loadMiBASecond
		known = newThrottler(unit.Name, s.Region, guess)
		s.throttlers[unit.Name] = known
		go s.reportDemand(known)
	}
	return known
}

// Update takes a status that a coordinator pushed.
func (s *Service) Update(status wire.UnitStatus) {
	s.mutex.Lock()
	known, ok := s.throttlers[status.Unit]
	s.mutex.Unlock()
	if ok {
		known.Update(status)
	}
}

// Refresh refuses what waits for models that were deleted, or for which no
// replica is decided any more. It is called after the configuration changed.
func (s *Service) Refresh() {
	s.mutex.Lock()
	throttlers := make([]*Throttler, 0, len(s.throttlers))
	for _, throttler := range s.throttlers {
		throttlers = append(throttlers, throttler)
	}
	s.mutex.Unlock()
	for _, throttler := range throttlers {
		if _, err := s.declared(throttler.unit, stepQueue); err != nil {
			throttler.refuseAll(fault.From(err, stepQueue))
		}
	}
}

// declared returns the unit of a name if callers may use it.
func (s *Service) declared(name, step string) (catalog.Unit, error) {
	unit, known := s.Catalog.Unit(name)
	if !known || unit.Deleted {
		return unit, fault.New(fault.CodeUnknownModel, step, "unknown model %q", name)
	}
	if unit.Replicas == 0 {
		return unit, fault.New(fault.CodeNoReplica, step, "no replica was decided for %q", name).WithRetryAfter(noReplicaRetry)
	}
	return unit, nil
}

// QueueDepths returns, by class, how many requests wait at this node.
func (s *Service) QueueDepths() [api.ClassCount]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var depths [api.ClassCount]int
	for _, throttler := range s.throttlers {
		report := throttler.report(s.Node, s.Address, 0)
		for class, count := range report.Waiting {
			depths[class] += count
		}
	}
	return depths
}

// reportDemand tells the coordinator what waits: at once when something comes to
// wait, often while it waits for a load, seldom otherwise.
func (s *Service) reportDemand(t *Throttler) {
	for s.Context.Err() == nil {
		ctx, cancel := context.WithTimeout(s.Context, demandTimeout)
		status, err := s.Demand.Send(ctx, t.report(s.Node, s.Address, s.Catalog.Revision()))
		cancel()
		if err == nil {
			t.Update(status)
		} else {
			s.Logger.V(1).Info("demand not reported", "step", "report demand", "model", t.unit, "error", err.Error())
		}
		if !s.pause(t) {
			return
		}
	}
}

// pause waits until the next report is due and reports false when the throttler
// was retired because nobody used its unit.
func (s *Service) pause(t *Throttler) bool {
	waiting, cold := t.pending()
	wait := demandIdle
	if waiting > 0 {
		wait = demandWaiting
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-s.Context.Done():
			return false
		case <-t.demand:
			if _, stillCold := t.pending(); stillCold && !cold || waiting == 0 && stillCold {
				return true
			}
		case <-timer.C:
			return !s.retire(t)
		}
	}
}

func (s *Service) retire(t *Throttler) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !t.idle(time.Now()) {
		return false
	}
	delete(s.throttlers, t.unit)
	return true
}

// errCallerGone is returned by the sink when the caller closed the connection.
var errCallerGone = errors.New("the caller went away")
