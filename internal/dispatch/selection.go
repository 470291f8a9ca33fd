package dispatch

import (
	"cmp"
	"context"
	"errors"
	"time"

	"lilacvane/internal/demand"
	"lilacvane/internal/eligible"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

const (
	// defaultRetryAfter is the retry time of a refused request when nothing better is known.
	defaultRetryAfter = 300 * time.Millisecond
	// latestStartShare is the part of a request's time after which it is no longer started.
	latestStartShare = 0.85
	// patienceMargin is the time between the latest start of a request and the moment at which its
	// client leaves, so that the answer does not come too late.
	patienceMargin = 250 * time.Millisecond
	// retriedShare is the part of the route's timeout below which the time that the client still
	// has shows that it was refused before.
	retriedShare = 0.93
	// demandRetention is how much longer than its retry time a refused request counts as waiting.
	demandRetention = time.Second
	// obstaclesMaxAge is how long recorded obstacles are used without looking again: lists change
	// every 200 ms at most (runnerInterval of a node).
	obstaclesMaxAge = 200 * time.Millisecond
)

// errUnitChanged says that the requested model is now served by another unit.
var errUnitChanged = errors.New("the model's version changed")

// selectRunner waits for a runner that can take the request. It follows the model when its version
// changes meanwhile.
func (j *job) selectRunner(ctx context.Context) (fleet.Choice, error) {
	for {
		if err := j.resolve(); err != nil && j.stream == nil {
			return fleet.Choice{}, err
		}
		choice, err := j.selectForUnit(ctx)
		if !errors.Is(err, errUnitChanged) {
			return choice, err
		}
	}
}

// resolve looks up the unit that serves the request now. A stream that has begun stays with its
// unit, as another one would not continue it.
func (j *job) resolve() error {
	if j.request.Resolve == nil {
		return nil
	}
	unit, err := j.request.Resolve()
	if err != nil || unit == j.query.Unit {
		return err
	}
	if j.stream != nil {
		return fault.At(fault.CodeInterrupted, "wait for a runner", fault.Self, fault.Done, errors.New("the answer's version is no longer served"))
	}
	j.log.Info("unit changed", "from", j.query.Unit.String(), "to", unit.String())
	j.query.Unit = unit
	return nil
}

// selectForUnit waits for a runner that holds the unit.
func (j *job) selectForUnit(ctx context.Context) (fleet.Choice, error) {
	changed := j.dispatcher.Fleet.Changed()
	if choice, ok := j.choose(ctx); ok {
		return choice, nil
	}
	j.request.Start.End()
	start := time.Now()
	defer func() { j.outcome.Waited += time.Since(start) }()
	j.recordObstacles()
	endDemand := func() {}
	if j.engine {
		endDemand = j.dispatcher.Demand.AddWaiting(demand.Key{Service: j.query.Service, Unit: j.query.Unit, Homes: j.query.Homes}, j.latestStart(), j.priority())
	}
	if j.dispatcher.Fleet.WaitsForPermit(j.query) {
		j.dispatcher.Demand.RequestReport(j.query.Service)
	}
	choice, retryAfter, err := j.waitForRunner(ctx, changed)
	if err != nil && time.Since(start) >= obstaclesMaxAge {
		j.recordObstacles()
	}
	if retryAfter > 0 && ctx.Err() == nil {
		// The client tries again: the demand for its model continues.
		time.AfterFunc(retryAfter+demandRetention, endDemand)
		return choice, err
	}
	endDemand()
	return choice, err
}

// recordObstacles records why no runner can take the request now.
func (j *job) recordObstacles() {
	j.outcome.Unplaced = &Unplaced{Obstacles: j.dispatcher.Fleet.Obstacles(j.query), At: time.Since(j.request.Arrived)}
}

// waitForRunner looks for a runner whenever something changed. A retryAfter above zero says that
// the client is to try again.
func (j *job) waitForRunner(ctx context.Context, changed <-chan struct{}) (choice fleet.Choice, retryAfter time.Duration, err error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer j.leaveRestQueue()
	since := time.Now()
	stopBegun := j.dispatcher.Stop.Begun()
	for {
		if ctx.Err() != nil {
			return fleet.Choice{}, 0, fault.At(fault.CodeCanceled, "wait for a runner", fault.Self, fault.NotDone, context.Cause(ctx))
		}
		unit := j.query.Unit
		if err := j.resolve(); err != nil {
			return fleet.Choice{}, 0, err
		}
		if unit != j.query.Unit {
			return fleet.Choice{}, 0, errUnitChanged
		}
		buildWait, err := j.checkBuild(since)
		if err != nil {
			return fleet.Choice{}, 0, err
		}
		if err := j.checkZones(); err != nil {
			return fleet.Choice{}, 0, err
		}
		if err := j.checkLeaving(); err != nil {
			return fleet.Choice{}, 0, err
		}
		if problem := j.quarantined(); problem != nil {
			return fleet.Choice{}, 0, problem
		}
		if problem := cmp.Or(j.checkHomes(), j.checkPathsInHomes()); problem != nil {
			return fleet.Choice{}, 0, problem
		}
		if j.learnLoads(ctx) {
			if choice, ok := j.choose(ctx); ok {
				return choice, 0, nil
			}
		}
		w := j.currentWait()
		stopRecheck, refusal := j.checkStopWaiting(w)
		if refusal != nil {
			return fleet.Choice{}, 0, refusal
		}
		decision, delay, recheck := w.decide()
		if w.exact && decision != keepWaiting {
			delay = max(delay, j.dispatcher.Fleet.RetryAfterRest(j.query))
		}
		switch decision {
		case giveUp:
			return fleet.Choice{}, 0, fault.New(fault.CodeDeadline, "wait for a runner", "no runner can take %s in time", j.query.Unit).WithRetryAfter(delay)
		case retryLater:
			return fleet.Choice{}, delay, fault.New(fault.CodeDeadline, "wait for a runner", "%s is expected in %s", j.query.Unit, delay.Round(time.Millisecond)).WithRetryAfter(delay)
		}
		if j.sent > 0 {
			// The runner that refused the request may be the only one.
			recheck = min(recheck, fleet.RefusalPause)
		}
		if buildWait > 0 {
			recheck = min(recheck, buildWait)
		}
		if stopRecheck > 0 {
			recheck = min(recheck, max(stopRecheck, minRecheck))
		}
		timer.Reset(recheck)
		select {
		case <-ctx.Done():
			continue
		case <-stopBegun:
			stopBegun = nil
			continue
		case <-changed:
		case <-timer.C:
		}
		changed = j.dispatcher.Fleet.Changed()
		if choice, ok := j.choose(ctx); ok {
			return choice, 0, nil
		}
	}
}

// checkZones refuses a request while operators have taken out every zone that could serve it. It
// cannot be served before the node learns that a zone is back. A stream that has begun waits as
// long as its client does.
func (j *job) checkZones() error {
	if j.stream != nil || j.dispatcher.Fleet.Refusal(j.query) != eligible.ZoneOut {
		return nil
	}
	return fault.New(fault.CodeZonesOut, "wait for a runner", "all zones with runners of %s are taken out", j.query.Service).
		WithRetryAfter(max(j.dispatcher.MaxPropagationDelay, defaultRetryAfter))
}

// checkLeaving refuses a request while all runners that could serve it are leaving: others may be
// listed, but it is unknown when. In a test, 247 requests with 3 s each were held for 2.1 s on
// average before they were refused. A stream that has begun waits as long as its client does.
func (j *job) checkLeaving() error {
	if j.stream != nil || !j.dispatcher.Fleet.AllDraining(j.query) {
		return nil
	}
	j.recordObstacles()
	return fault.New(fault.CodeDraining, "wait for a runner", "all runners of %s leave", j.query.Service).WithRetryAfter(unlistedRetryAfter)
}

// currentWait describes the request's wait at this moment.
func (j *job) currentWait() wait {
	w := wait{
		elapsed: time.Since(j.request.Arrived), maxWait: j.latestStart().Sub(j.request.Arrived), objective: j.route.Objective, retried: j.retried(),
	}
	if in, limited := j.limitedDelay(); limited {
		w.expected, w.earliest, w.known, w.scheduled = in, in, true, true
		w.exact = j.stream == nil
		return w
	}
	if in, capacity, known := j.earliestAvailable(); known {
		w.expected, w.earliest, w.known, w.scheduled, w.exact = in, in, true, true, capacity > 0
		// A stream that has begun waits as long as its client does.
		w.queueFull = capacity > 0 && j.stream == nil && j.joinRestQueue() >= capacity
		return w
	}
	if j.engine {
		w.expected, w.known = j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit, j.query.Homes)
		if !w.known && w.elapsed >= time.Duration(promptRefusalShare*float64(w.objective)) {
			w.expected, w.known = j.expectedLoadTime()
		}
		if w.retried && w.known {
			load, _ := j.loadTime()
			w.earliest = min(w.expected, load)
			if j.dispatcher.Fleet.Firm(j.query.Service, j.query.Unit.Model) {
				w.earliest = w.expected
			}
		}
	}
	return w
}

// earliestAvailable returns the time until a runner that is ineligible only because it is cold or
// in a rest may take the request, or until a load that is in progress elsewhere is done. If it is
// the end of a rest alone, capacity is how many requests the runners took before; else it is zero.
func (j *job) earliestAvailable() (in time.Duration, capacity int, known bool) {
	in, known = j.dispatcher.Fleet.PermitIn(j.query)
	after, took, rests := j.dispatcher.Fleet.RestEndsIn(j.query)
	switch {
	case !known && !rests:
		return 0, 0, false
	case !known:
		in, capacity = after, took
	case rests:
		in = min(in, after)
	}
	if loaded, loading := j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit, j.query.Homes); loading && j.engine && loaded < in {
		in, capacity = loaded, 0
	}
	return in, capacity, true
}

// limitedDelay returns the time until a runner that is excluded only by its own rate limit may take
// the request: requests that wait already go first. limited is false if the request waits for
// anything else.
func (j *job) limitedDelay() (in time.Duration, limited bool) {
	rate, limited := j.dispatcher.Fleet.LimitedRate(j.query)
	if !limited {
		return 0, false
	}
	if _, _, rests := j.dispatcher.Fleet.RestEndsIn(j.query); rests {
		return 0, false
	}
	in, known := j.dispatcher.Fleet.PermitIn(j.query)
	in += time.Duration(float64(j.joinRestQueue()) / rate * float64(time.Second))
	if loaded, loading := j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit, j.query.Homes); loading && j.engine {
		in = min(in, loaded)
	}
	return in, known
}

// joinRestQueue returns how many requests waited for the same runners before this one, which counts
// as waiting from now on until it is sent or refused.
func (j *job) joinRestQueue() int {
	if j.leaveQueue == nil {
		j.queuedAhead, j.leaveQueue = j.dispatcher.Fleet.AwaitRest(j.query)
	}
	return j.queuedAhead
}

// leaveRestQueue ends the request's wait for the end of a rest, if there was one.
func (j *job) leaveRestQueue() {
	if j.leaveQueue != nil {
		j.leaveQueue()
		j.leaveQueue = nil
	}
}

// expectedLoadTime returns the least time until the model is loaded when no load has begun: until
// the next orders are given, plus the load itself. It is false if that is not known.
func (j *job) expectedLoadTime() (time.Duration, bool) {
	load, known := j.loadTime()
	if !known || load == 0 {
		return load, known
	}
	return j.dispatcher.Fleet.OrdersIn(j.query.Service) + load, true
}

// loadTime returns the least time that loading the model takes; zero when a runner holds it, as
// then only an adapter may be missing. It is false if the model is not in the configuration.
func (j *job) loadTime() (time.Duration, bool) {
	service := j.dispatcher.Configuration().Services[j.query.Service]
	if service == nil || service.Engine == nil || service.Engine.Models[j.query.Unit.Model] == nil {
		return 0, false
	}
	if j.dispatcher.Fleet.Holds(j.query.Service, j.query.Unit.Model, j.query.Homes) {
		return 0, true
	}
	return j.dispatcher.Fleet.LoadTime(j.query.Service, service.Engine.Models[j.query.Unit.Model], j.query.Homes), true
}

// retried reports whether the client was refused before: it has less time left than the route
// gives.
func (j *job) retried() bool {
	if j.request.StartWithin > 0 || j.ran > 0 {
		return true
	}
	return j.request.Patience > 0 && float64(j.request.Patience) < retriedShare*float64(j.route.Timeout)
}

// latestStart returns when a waiting request is given up: before its deadline and before its client
// leaves.
func (j *job) latestStart() time.Time {
	if j.request.StartWithin > 0 {
		return j.request.Arrived.Add(j.request.StartWithin)
	}
	limit := time.Duration(latestStartShare * float64(j.deadline.Sub(j.request.Arrived)))
	if j.route.ClientTimeout > patienceMargin {
		limit = min(limit, j.route.ClientTimeout-patienceMargin)
	}
	return j.request.Arrived.Add(limit)
}

// markPossiblyRun returns the error with an outcome that does not claim that the request did not
// run.
func markPossiblyRun(problem *fault.Error) *fault.Error {
	if problem.Ran != fault.NotDone {
		return problem
	}
	copied := *problem
	copied.Ran = fault.Unknown
	return &copied
}

// clientLeft reports whether the request ended because its client left.
func clientLeft(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errClosing)
}

// end gives the final answer after an error.
func (j *job) end(ctx context.Context, err error) {
	problem := fault.From(err, "serve request")
	if j.ran > 0 || j.stream != nil {
		// Whatever the outcome of the last attempt, an earlier one may have run.
		problem = markPossiblyRun(problem)
	}
	if j.stream != nil {
		j.abortStream(problem)
		return
	}
	if clientLeft(ctx) {
		j.outcome.Result, j.outcome.Step, j.outcome.Reason = ResultCanceled, problem.Step, problem.Error()
		return
	}
	if j.heldFailure != nil {
		j.writeBuffered(j.heldFailure, ResultPassed, j.heldFailure.framed())
		return
	}
	if j.ran == 0 {
		j.refuse(problem)
		return
	}
	j.fail(errors.Is(context.Cause(ctx), errTimeout), problem)
}
