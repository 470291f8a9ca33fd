package dispatch

import (
	"context"
	"errors"
	"time"

	"lilacvane/internal/demand"
	"lilacvane/internal/eligible"
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
	// patienceMargin keeps an answer clear of the moment at which its client
	// leaves.
	patienceMargin = 250 * time.Millisecond
	// returnedShare of the route's time-out is the most that the clients of a
	// request that was refused before have left.
	returnedShare = 0.93
	// waitRemembered is how much longer than its retry time a refused request
	// counts as waiting.
	waitRemembered = time.Second
	// obstaclesFresh is how long what kept runners from a request stands without
	// another look: lists change every 200 ms at most (runnerInterval of a node).
	obstaclesFresh = 200 * time.Millisecond
)

// errRenamed says that the model asked for is served by another unit now.
var errRenamed = errors.New("the model's version changed")

// place waits for a runner that can take the request. It follows the model when
// its version changes meanwhile.
func (j *job) place(ctx context.Context) (fleet.Choice, error) {
	for {
		if err := j.resolve(); err != nil && j.relay == nil {
			return fleet.Choice{}, err
		}
		choice, err := j.placeUnit(ctx)
		if !errors.Is(err, errRenamed) {
			return choice, err
		}
	}
}

// resolve asks which unit serves the request now. A stream that has begun stays
// with its unit, as another one would not continue it.
func (j *job) resolve() error {
	if j.request.Resolve == nil {
		return nil
	}
	unit, err := j.request.Resolve()
	if err != nil || unit == j.query.Unit {
		return err
	}
	if j.relay != nil {
		return fault.At(fault.CodeInterrupted, "wait for a runner", fault.Self, fault.Done, errors.New("the answer's version is no longer served"))
	}
	j.log.Info("unit changed", "from", j.query.Unit.String(), "to", unit.String())
	j.query.Unit = unit
	return nil
}

// placeUnit waits for a runner that holds the unit.
func (j *job) placeUnit(ctx context.Context) (fleet.Choice, error) {
	changed := j.dispatcher.Fleet.Changed()
	if choice, ok := j.choose(ctx); ok {
		return choice, nil
	}
	start := time.Now()
	defer func() { j.outcome.Waited += time.Since(start) }()
	j.noteObstacles()
	end := func() {}
	if j.engine {
		end = j.dispatcher.Demand.Wait(demand.Key{Service: j.query.Service, Unit: j.query.Unit, Homes: j.query.Homes}, j.latestStart(), j.priority())
	}
	if j.dispatcher.Fleet.WaitsForPermit(j.query) {
		j.dispatcher.Demand.Nudge(j.query.Service)
	}
	choice, retryAfter, err := j.await(ctx, changed)
	if err != nil && time.Since(start) >= obstaclesFresh {
		j.noteObstacles()
	}
	if retryAfter > 0 && ctx.Err() == nil {
		// The client comes back: what it waits for is still wanted.
		time.AfterFunc(retryAfter+waitRemembered, end)
		return choice, err
	}
	end()
	return choice, err
}

// noteObstacles notes why no runner can take the request now.
func (j *job) noteObstacles() {
	j.outcome.Unplaced = &Unplaced{Obstacles: j.dispatcher.Fleet.Obstacles(j.query), At: time.Since(j.request.Arrived)}
}

// await looks for a runner whenever something changed. A retryAfter above zero
// says that the client is sent back.
func (j *job) await(ctx context.Context, changed <-chan struct{}) (choice fleet.Choice, retryAfter time.Duration, err error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer j.leaveRest()
	for {
		if ctx.Err() != nil {
			return fleet.Choice{}, 0, fault.At(fault.CodeCanceled, "wait for a runner", fault.Self, fault.NotDone, context.Cause(ctx))
		}
		unit := j.query.Unit
		if err := j.resolve(); err != nil {
			return fleet.Choice{}, 0, err
		}
		if unit != j.query.Unit {
			return fleet.Choice{}, 0, errRenamed
		}
		if err := j.zonesOut(); err != nil {
			return fleet.Choice{}, 0, err
		}
		if err := j.allLeave(); err != nil {
			return fleet.Choice{}, 0, err
		}
		if problem := j.quarantined(); problem != nil {
			return fleet.Choice{}, 0, problem
		}
		if problem := j.checkHomes(); problem != nil {
			return fleet.Choice{}, 0, problem
		}
		w := j.waitNow()
		decision, back, again := w.decide()
		if w.firm && decision != keepWaiting {
			back = max(back, j.dispatcher.Fleet.ReturnAfterRest(j.query))
		}
		switch decision {
		case giveUp:
			return fleet.Choice{}, 0, fault.New(fault.CodeDeadline, "wait for a runner", "no runner can take %s in time", j.query.Unit).WithRetryAfter(back)
		case sendBack:
			return fleet.Choice{}, back, fault.New(fault.CodeDeadline, "wait for a runner", "%s is expected in %s", j.query.Unit, back.Round(time.Millisecond)).WithRetryAfter(back)
		}
		if j.sent > 0 {
			// The runner that refused it may be the only one.
			again = min(again, fleet.RefusalPause)
		}
		timer.Reset(again)
		select {
		case <-ctx.Done():
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

// zonesOut refuses a request while operators have taken out every zone that could serve
// it. It may be served no sooner than news of a return come. A stream that has begun waits
// for that as long as its client does.
func (j *job) zonesOut() error {
	if j.relay != nil || j.dispatcher.Fleet.Refusal(j.query) != eligible.ZoneOut {
		return nil
	}
	return fault.New(fault.CodeZonesOut, "wait for a runner", "all zones with runners of %s are taken out", j.query.Service).
		WithRetryAfter(max(j.dispatcher.NewsWithin, defaultReturn))
}

// allLeave refuses a request while all runners that could serve it leave: others may be listed,
// but nobody knows when. In the test of it 247 requests with 3 s each were held for 2.1 s in the
// mean before they were refused. A stream that has begun waits as long as its client does.
func (j *job) allLeave() error {
	if j.relay != nil || !j.dispatcher.Fleet.AllLeave(j.query) {
		return nil
	}
	j.noteObstacles()
	return fault.New(fault.CodeDraining, "wait for a runner", "all runners of %s leave", j.query.Service).WithRetryAfter(listedAgain)
}

// waitNow describes the request's wait at this moment.
func (j *job) waitNow() wait {
	w := wait{
		elapsed: time.Since(j.request.Arrived), hold: j.latestStart().Sub(j.request.Arrived), objective: j.route.Objective, returned: j.returned(),
	}
	if in, limited := j.afterLimit(); limited {
		w.expected, w.least, w.known, w.dated = in, in, true, true
		w.firm = j.relay == nil
		return w
	}
	if in, room, known := j.soonest(); known {
		w.expected, w.least, w.known, w.dated, w.firm = in, in, true, true, room > 0
		// A stream that has begun waits as long as its client does.
		w.crowded = room > 0 && j.relay == nil && j.behindRest() >= room
		return w
	}
	if j.engine {
		w.expected, w.known = j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit, j.query.Homes)
		if !w.known && w.elapsed >= time.Duration(promptRefusal*float64(w.objective)) {
			w.expected, w.known = j.loadExpected()
		}
		if w.returned && w.known {
			load, _ := j.loadTime()
			w.least = min(w.expected, load)
			if j.dispatcher.Fleet.Firm(j.query.Service, j.query.Unit.Model) {
				w.least = w.expected
			}
		}
	}
	return w
}

// soonest is the time until a runner that could serve the request but for its coldness or its
// rest may take it, or a load that is under way elsewhere is there. Where that is the end of a
// rest alone, room is how many requests the runners took before; else it is zero.
func (j *job) soonest() (in time.Duration, room int, known bool) {
	in, known = j.dispatcher.Fleet.PermitIn(j.query)
	after, took, rests := j.dispatcher.Fleet.RestEndsIn(j.query)
	switch {
	case !known && !rests:
		return 0, 0, false
	case !known:
		in, room = after, took
	case rests:
		in = min(in, after)
	}
	if at, coming := j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit, j.query.Homes); coming && j.engine && at < in {
		in, room = at, 0
	}
	return in, room, true
}

// afterLimit is the time until a runner may take the request that could but for the limit it named:
// those that wait before it go first. It is false where that is not what it waits for alone.
func (j *job) afterLimit() (in time.Duration, limited bool) {
	rate, limited := j.dispatcher.Fleet.LimitedRate(j.query, j.dispatcher.nodeCount())
	if !limited {
		return 0, false
	}
	if _, _, rests := j.dispatcher.Fleet.RestEndsIn(j.query); rests {
		return 0, false
	}
	in, known := j.dispatcher.Fleet.PermitIn(j.query)
	in += time.Duration(float64(j.behindRest()) / rate * float64(time.Second))
	if at, coming := j.dispatcher.Fleet.Expected(j.query.Service, j.query.Unit, j.query.Homes); coming && j.engine {
		in = min(in, at)
	}
	return in, known
}

// behindRest is how many requests waited for the same runners before this one, which counts
// as waiting from now on until it is placed or refused.
func (j *job) behindRest() int {
	if j.endRestWait == nil {
		j.restAhead, j.endRestWait = j.dispatcher.Fleet.AwaitRest(j.query)
	}
	return j.restAhead
}

// leaveRest ends its wait for a rest, if there was one.
func (j *job) leaveRest() {
	if j.endRestWait != nil {
		j.endRestWait()
		j.endRestWait = nil
	}
}

// loadExpected is how long it takes at least until the model is loaded when nobody has
// begun to: until somebody gives orders, and the load.
func (j *job) loadExpected() (time.Duration, bool) {
	load, known := j.loadTime()
	if !known || load == 0 {
		return load, known
	}
	return j.dispatcher.Fleet.OrdersIn(j.query.Service) + load, true
}

// loadTime is how long a load of the model takes at least; nothing when a runner holds it,
// of which only an adapter may be missing.
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

// returned reports whether the client was refused before: it has less time left
// than the route gives.
func (j *job) returned() bool {
	if j.request.StartWithin > 0 || j.ran > 0 {
		return true
	}
	return j.request.Patience > 0 && float64(j.request.Patience) < returnedShare*float64(j.route.Timeout)
}

// latestStart is when a waiting request is given up: before its time is over and
// before its client leaves.
func (j *job) latestStart() time.Time {
	if j.request.StartWithin > 0 {
		return j.request.Arrived.Add(j.request.StartWithin)
	}
	hold := time.Duration(latestStart * float64(j.deadline.Sub(j.request.Arrived)))
	if j.route.Patience > patienceMargin {
		hold = min(hold, j.route.Patience-patienceMargin)
	}
	return j.request.Arrived.Add(hold)
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
