package dispatch

import (
	"context"
	"time"
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

// silenceWatch ends an attempt whose runner is silent for too long.
type silenceWatch struct {
	timer *time.Timer
}

func newSilenceWatch(cancel context.CancelCauseFunc, limit time.Duration) *silenceWatch {
	if limit == 0 {
		limit = unlimited
	}
	return &silenceWatch{timer: time.AfterFunc(limit, func() { cancel(errSilent) })}
}

const unlimited = 24 * time.Hour

// heard starts the watch anew with a limit.
func (w *silenceWatch) heard(limit time.Duration) {
	if limit == 0 {
		limit = unlimited
	}
	w.timer.Reset(limit)
}

func (w *silenceWatch) stop() { w.timer.Stop() }
