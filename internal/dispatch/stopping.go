package dispatch

import (
	"time"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
)

// RetryElsewhere is the retry time of a request that other nodes can serve at once.
const RetryElsewhere = 10 * time.Millisecond

// CheckStop returns the refusal of a request with a route that has not run and that this node, which stops,
// could not finish; nil if the request may begin.
func (d *Dispatcher) CheckStop(request *Request) *fault.Error {
	return d.checkStop(request.Route, request.due(request.Route))
}

func (d *Dispatcher) checkStop(route *config.Route, due time.Time) *fault.Error {
	schedule, stopping := d.Stop.Schedule()
	if !stopping || schedule.Accepts(time.Now(), due, d.durations.expect(route.Name)) {
		return nil
	}
	return fault.New(fault.CodeDraining, "accept request", "the node is leaving").WithRetryAfter(RetryElsewhere)
}

// checkStop returns the refusal of the job's request if that has not begun and must not any more.
func (j *job) checkStop() *fault.Error {
	if j.ran > 0 || j.stream != nil {
		return nil
	}
	return j.dispatcher.checkStop(j.route, j.deadline)
}

// untilStopRefuses returns the time until a waiting request of a node that stops is to be checked again;
// false if the node does not stop.
func (j *job) untilStopRefuses() (time.Duration, bool) {
	schedule, stopping := j.dispatcher.Stop.Schedule()
	left := time.Until(schedule.LatestOpen)
	return left, stopping && left > 0
}

// recordStop records how the request relates to the stop of the node, if that stops.
func (j *job) recordStop(now time.Time) {
	schedule, stopping := j.dispatcher.Stop.Schedule()
	if !stopping {
		return
	}
	j.outcome.Stop = &StopOutcome{Phase: schedule.PhaseAt(j.request.Read), Read: j.request.Read.Sub(schedule.Begin), Ended: now.Sub(schedule.Begin)}
	if j.forwarded() > 0 {
		j.outcome.Stop.Idle = now.Sub(j.stream.forwardedAt)
	}
}
