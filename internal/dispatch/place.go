package dispatch

import (
	"context"
	"errors"
	"time"

	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

const (
	// defaultReturn is when a refused client may come back when nothing better
	// is known.
	defaultReturn = 300 * time.Millisecond
	// latestStart is the part of a request's time after which it is no longer
	// begun.
	latestStart = 0.85
	// placeInterval is how often a waiting request looks again unasked.
	placeInterval = 100 * time.Millisecond
)

// place waits for a runner that can take the request.
func (j *job) place(ctx context.Context) (fleet.Choice, error) {
	changed := j.dispatcher.Fleet.Changed()
	if choice, ok := j.dispatcher.Fleet.Choose(j.query); ok {
		return choice, nil
	}
	start := time.Now()
	latest := j.latestStart()
	defer func() { j.outcome.Waited += time.Since(start) }()
	if j.engine {
		end := j.dispatcher.Demand.Wait(demand.Key{Service: j.query.Service, Unit: j.query.Unit}, latest, j.route.Priority)
		defer end()
	}
	timer := time.NewTimer(placeInterval)
	defer timer.Stop()
	for {
		if err := j.stillWorthWaiting(latest); err != nil {
			return fleet.Choice{}, err
		}
		select {
		case <-ctx.Done():
			return fleet.Choice{}, fault.At(fault.CodeCanceled, "wait for a runner", fault.Self, fault.NotDone, context.Cause(ctx))
		case <-changed:
		case <-timer.C:
			timer.Reset(placeInterval)
		}
		changed = j.dispatcher.Fleet.Changed()
		if choice, ok := j.dispatcher.Fleet.Choose(j.query); ok {
			return choice, nil
		}
	}
}

// latestStart is when a waiting request is given up.
func (j *job) latestStart() time.Time {
	if j.request.StartWithin > 0 {
		return j.request.Arrived.Add(j.request.StartWithin)
	}
	whole := j.deadline.Sub(j.request.Arrived)
	return j.request.Arrived.Add(time.Duration(latestStart * float64(whole)))
}

// stillWorthWaiting refuses a request whose wait cannot end in time, with the
// time at which its model is expected.
func (j *job) stillWorthWaiting(latest time.Time) error {
	if j.request.Allowed != nil {
		if err := j.request.Allowed(); err != nil {
			return err
		}
	}
	expected, coming := j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit)
	if time.Now().After(latest) {
		back := defaultReturn
		if coming {
			back = max(expected, back)
		}
		return fault.New(fault.CodeDeadline, "wait for a runner", "no runner can take %s in time", j.query.Unit).WithRetryAfter(back)
	}
	return nil
}

func mayHaveRun(problem *fault.Error) *fault.Error {
	if problem.Ran != fault.NotDone {
		return problem
	}
	copied := *problem
	copied.Ran = fault.Unknown
	return &copied
}

// clientLeft reports whether the request ended because nobody waits for it.
func clientLeft(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errTimeout) && !errors.Is(cause, errClosing)
}

// end gives the final answer after an error.
func (j *job) end(ctx context.Context, err error) {
	problem := fault.From(err, "serve request")
	if j.ran > 0 || j.relay != nil {
		// Whatever became of the last attempt, an earlier one may have run.
		problem = mayHaveRun(problem)
	}
	if j.relay != nil {
		j.breakOff(problem)
		return
	}
	if clientLeft(ctx) {
		j.outcome.Result, j.outcome.Step, j.outcome.Reason = ResultCanceled, problem.Step, problem.Error()
		return
	}
	if j.last != nil {
		j.writeWhole(j.last, ResultPassed)
		return
	}
	if j.ran == 0 {
		j.refuse(problem)
		return
	}
	j.fail(errors.Is(context.Cause(ctx), errTimeout), problem)
}
