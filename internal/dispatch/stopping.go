package dispatch

import (
	"context"
	"sync"
	"time"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/stop"
)

// StepAccept is the step in the refusals of requests that a node does not take on.
const StepAccept = "accept request"

// RetryElsewhere is the retry time of a request that other nodes can serve at once.
const RetryElsewhere = 10 * time.Millisecond

// CheckStop returns the refusal of a request that has not run and that this node, which stops, could not
// finish; nil if the request may begin.
func (d *Dispatcher) CheckStop(request *Request, route *config.Route) *fault.Error {
	schedule, stopping := d.Stop.Schedule()
	if !stopping || schedule.Accepts(time.Now(), d.work(request, route)) {
		return nil
	}
	return refusedByStop()
}

// UntilRefused returns a context that ends as soon as this node stops and a request that has not run may not begin any
// more, at the last answers at the latest. release must be called when the request no longer waits.
func (d *Dispatcher) UntilRefused(ctx context.Context, request *Request, route *config.Route) (bound context.Context, release func()) {
	bound, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() {
		defer cancel()
		d.awaitRefusal(bound, request, route)
	})
	return bound, func() {
		cancel()
		watching.Wait()
	}
}

// awaitRefusal returns once a request that has not run may not begin any more, or ctx ends.
func (d *Dispatcher) awaitRefusal(ctx context.Context, request *Request, route *config.Route) {
	select {
	case <-ctx.Done():
		return
	case <-d.Stop.Begun():
	}
	schedule, _ := d.Stop.Schedule()
	for ctx.Err() == nil && time.Now().Before(schedule.LastAnswers) && d.CheckStop(request, route) == nil {
		next := time.Until(schedule.LastAnswers)
		if recheck := schedule.RecheckAfter(time.Now(), d.work(request, route)); recheck > 0 {
			next = min(next, recheck)
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
}

// work describes a request that can begin now. A client may count its deadline from the last byte of its body, so that
// the answer is due by that.
func (d *Dispatcher) work(request *Request, route *config.Route) stop.Work {
	duration := d.durations.expect(route.Name)
	due := request.due(route)
	if request.Read.After(request.Arrived) {
		due = due.Add(request.Read.Sub(request.Arrived))
	}
	return stop.Work{Read: request.Read, Due: due, Duration: duration, Known: duration > 0}
}

// refusedByStop returns the refusal of a request that a stopping node could not finish.
func refusedByStop() *fault.Error {
	return fault.New(fault.CodeDraining, StepAccept, "the node is leaving").WithRetryAfter(RetryElsewhere)
}

// begun reports whether something of the request may have run.
func (j *job) begun() bool { return j.ran > 0 || j.stream != nil }

// checkStop returns the refusal of the job's request if that has not begun and must not any more.
func (j *job) checkStop() *fault.Error {
	if j.begun() {
		return nil
	}
	return j.dispatcher.CheckStop(j.request, j.route)
}

// checkStopWaiting is checkStop for a request that waits. It also returns the time after which to check again; zero for
// any time.
func (j *job) checkStopWaiting(w wait) (recheck time.Duration, refusal *fault.Error) {
	schedule, stopping := j.dispatcher.Stop.Schedule()
	if !stopping || j.begun() {
		return 0, nil
	}
	now, work := time.Now(), j.dispatcher.work(j.request, j.route)
	work.Delay, work.Known = w.expected, work.Known && w.known
	if !schedule.Accepts(now, work) {
		return 0, refusedByStop()
	}
	return schedule.RecheckAfter(now, work), nil
}

// recordStop records how the request relates to the stop of the node, if that stops.
func (j *job) recordStop(now time.Time) {
	schedule, stopping := j.dispatcher.Stop.Schedule()
	if !stopping {
		return
	}
	read := j.request.Read
	if read.IsZero() {
		// It was refused before its body was read.
		read = j.request.Arrived
	}
	j.outcome.Stop = &StopOutcome{Phase: schedule.PhaseAt(read), Read: read.Sub(schedule.Begin), Ended: now.Sub(schedule.Begin)}
	// All answers that have begun end by then, also those that have no runner at that moment.
	j.outcome.Stop.Cut = j.outcome.Broken() && !now.Before(schedule.LastAnswers)
	if j.forwarded() > 0 {
		j.outcome.Stop.Idle = now.Sub(j.stream.forwardedAt)
	}
}
