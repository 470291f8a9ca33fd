package dispatch

import (
	"context"
	"time"

	"lilacvane/internal/fleet"
)

const (
	// silenceFactor is how many objectives a runner of a repeatable request may
	// be silent before another one is tried.
	silenceFactor = 1.5
	// streamSilenceFactor is the same for a resumable stream's first event.
	streamSilenceFactor = 0.5
	// minimumSilence keeps the limit clear of ordinary work.
	minimumSilence = 100 * time.Millisecond
	// pauseFactor is how many pause objectives a resumable stream may rest.
	pauseFactor = 2.5
)

// silenceLimit is how long a runner may be silent before the request is taken to
// another one; zero when it must be waited for, as the request may have run.
func (j *job) silenceLimit() time.Duration {
	if !j.route.Idempotent() || j.ran+1 >= j.route.Attempts || j.route.Objective == 0 {
		return 0
	}
	factor := silenceFactor
	if j.route.Resumable {
		factor = streamSilenceFactor
	}
	return max(time.Duration(factor*float64(j.route.Objective)), minimumSilence)
}

// pauseLimit is how long a stream may rest between events before it is resumed
// at another runner; zero when it may not be resumed.
func (j *job) pauseLimit() time.Duration {
	if !j.route.Resumable || j.ran+1 >= j.route.Attempts || j.route.PauseObjective == 0 {
		return 0
	}
	return time.Duration(pauseFactor * float64(j.route.PauseObjective))
}

const (
	// suspectFactor is the part of the objective after which a runner that has
	// said nothing is suspected to be gone, with these bounds.
	suspectFactor   = 0.5
	earliestSuspect = 250 * time.Millisecond
	latestSuspect   = 600 * time.Millisecond
)

// suspectLater lets the control holder ask a runner that says nothing for a while.
// The attempt goes on: the runner may only be slow.
func (j *job) suspectLater(choice fleet.Choice) *time.Timer {
	if !j.engine {
		return time.AfterFunc(unlimited, func() {})
	}
	after := time.Duration(suspectFactor * float64(j.route.Objective))
	after = min(max(after, earliestSuspect), latestSuspect)
	service, runner, log := j.query.Service, choice.Runner.ID, j.log
	return time.AfterFunc(after, func() {
		if j.dispatcher.Fleet.Suspect(runner) {
			log.V(1).Info("runner suspected", "runner", runner, "silentMs", after.Milliseconds())
			j.dispatcher.Demand.Nudge(service)
		}
	})
}

// longestPause ends a stream that may not be resumed and stands still.
const longestPause = time.Minute

// beginLimit is how long the answer may still take to begin when the caller
// bounded that; longestPause when not.
func (j *job) beginLimit() time.Duration {
	if j.request.StartWithin == 0 || j.relay != nil {
		return max(time.Until(j.deadline), longestPause)
	}
	return max(time.Until(j.request.Arrived.Add(j.request.StartWithin)), minimumTime)
}

// silenceWatch ends an attempt whose runner is silent for too long: so that
// another one is tried, or as the request's time is over.
type silenceWatch struct {
	again *time.Timer
	final *time.Timer
}

// newSilenceWatch starts a watch. A limit of zero is none.
func newSilenceWatch(cancel context.CancelCauseFunc, again, final time.Duration) *silenceWatch {
	return &silenceWatch{
		again: time.AfterFunc(orUnlimited(again), func() { cancel(errSilent) }),
		final: time.AfterFunc(final, func() { cancel(errTimeout) }),
	}
}

const unlimited = 24 * time.Hour

func orUnlimited(limit time.Duration) time.Duration {
	if limit == 0 {
		return unlimited
	}
	return limit
}

// heard starts the watch anew.
func (w *silenceWatch) heard(again time.Duration) {
	w.again.Reset(orUnlimited(again))
	w.final.Reset(longestPause)
}

func (w *silenceWatch) stop() {
	w.again.Stop()
	w.final.Stop()
}
