package dispatch

import (
	"context"
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/fleet"
)

const (
	// silenceFactor is how many objectives a runner of an idempotent request may be silent before
	// another one is tried as well.
	silenceFactor = 1.5
	// streamSilenceFactor is the same for the first event of a resumable stream.
	streamSilenceFactor = 0.5
	// minSilence keeps the limit clear of ordinary processing times.
	minSilence = 100 * time.Millisecond
	// pauseFactor is how many pause objectives a resumable stream may go without an event.
	pauseFactor = 4
	// hedgeRetryInterval is the time between two attempts to find a runner that can take over from
	// a silent one.
	hedgeRetryInterval = 50 * time.Millisecond
	// allowanceCheckInterval is the longest time between two looks at how late this node is.
	allowanceCheckInterval = 200 * time.Millisecond
	// stallThreshold is the timer delay from which on the node itself was stalled: what its runners
	// sent meanwhile has not been read yet. Ordinary timers are a few milliseconds late.
	stallThreshold = 100 * time.Millisecond
)

// silenceLimit returns how long a runner may be silent before another one is tried as well; zero
// when the runner must be waited for, as the request may have run.
func (j *job) silenceLimit() time.Duration {
	if !j.route.Idempotent() || j.ran+1 >= j.route.Attempts || j.route.Objective == 0 {
		return 0
	}
	factor := silenceFactor
	if j.route.Resumable {
		factor = streamSilenceFactor
	}
	return max(time.Duration(factor*float64(j.route.Objective)), minSilence)
}

// pauseLimit returns how long a stream may go without an event before another runner is asked to
// resume it; zero when it may not be resumed, or when there is no event identifier to resume from.
func (j *job) pauseLimit() time.Duration {
	if !j.route.Resumable || j.ran+1 >= j.route.Attempts || j.route.PauseObjective == 0 || j.stream.lastEventID == "" {
		return 0
	}
	return time.Duration(pauseFactor * float64(j.route.PauseObjective))
}

const (
	// suspectFactor is the part of the objective after which a runner that has sent nothing is
	// suspected to be gone, within these bounds.
	suspectFactor   = 0.5
	minSuspectDelay = 250 * time.Millisecond
	maxSuspectDelay = 600 * time.Millisecond
)

// suspectLater reports a runner that has sent nothing for a while as suspected to the holder of the
// service's control lease, which probes it, unless ctx ends or stop is called before. The attempt goes
// on: the runner may only be slow.
func (j *job) suspectLater(ctx context.Context, choice fleet.Choice) (stop func()) {
	if !j.engine {
		return func() {}
	}
	after := time.Duration(suspectFactor * float64(j.route.Objective))
	after = min(max(after, minSuspectDelay), maxSuspectDelay)
	start := time.Now()
	service, runner, log := j.query.Service, choice.Runner.ID, j.log
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(after, func() {
		if j.dispatcher.awaitSilence(ctx, start.Add(after)) && j.dispatcher.Fleet.Suspect(runner) {
			log.V(1).Info("runner suspected", "runner", runner, "silentMs", time.Since(start).Milliseconds())
			j.dispatcher.Demand.RequestReport(service)
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}

// silenceLeft returns how long a runner that is silent since a time on a node that is not late must
// still be silent for it to count on this node; zero or less for no longer.
func (d *Dispatcher) silenceLeft(silentAt time.Time) time.Duration {
	return min(time.Until(silentAt)+d.Allowance.Get(), allowanceCheckInterval)
}

// awaitSilence waits until a runner that is silent since a time on a node that is not late counts as
// silent on this node. It returns false if ctx ended before.
func (d *Dispatcher) awaitSilence(ctx context.Context, silentAt time.Time) bool {
	for left := d.silenceLeft(silentAt); left > 0 && ctx.Err() == nil; left = d.silenceLeft(silentAt) {
		select {
		case <-ctx.Done():
		case <-time.After(left):
		}
	}
	return ctx.Err() == nil
}

// maxStreamPause is how long a stream that may not be resumed may go without an event before it is
// ended.
const maxStreamPause = time.Minute

// beginLimit returns how long the answer may still take to begin if the caller limited that, else
// the time left, at least maxStreamPause.
func (j *job) beginLimit() time.Duration {
	if j.request.StartWithin == 0 || j.stream != nil {
		return max(time.Until(j.deadline), maxStreamPause)
	}
	return max(time.Until(j.request.Arrived.Add(j.request.StartWithin)), minAttemptTime)
}

// silenceWatch tracks how long an attempt's runner has been silent. After too long a silence the
// attempt is hedged: the request goes to another runner as well, and the attempt is ended only once
// that runner answers. When the first runner was cut off at once, nothing was left to continue with
// if the other one refused: in a test, 16 of 16 streams broke off. The watch is used by the job's
// goroutine, its timers and its hedges.
type silenceWatch struct {
	cancel        context.CancelCauseFunc
	hedges        *hedges
	deadlineTimer *time.Timer

	mutex      sync.Mutex
	hedgeTimer *time.Timer
	ended      bool
	// resumeAfter is the last event that was forwarded, after which a hedge resumes.
	resumeAfter string
	// lastActivity is when the runner last sent something or was sent the request; silentAt is when
	// it counts as silent on a node that is not late, hedgeAt when to check next, timerDelay how much
	// later the timer fired.
	lastActivity time.Time
	silentAt     time.Time
	hedgeAt      time.Time
	timerDelay   time.Duration
	// stallExcused is set once a node that was stalled has checked again.
	stallExcused bool
}

// newSilenceWatch starts a watch. A limit of zero is none.
func newSilenceWatch(cancel context.CancelCauseFunc, h *hedges, resumeAfter string, hedgeAfter, deadlineAfter time.Duration) *silenceWatch {
	w := &silenceWatch{cancel: cancel, hedges: h, resumeAfter: resumeAfter, lastActivity: time.Now()}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.deadlineTimer = time.AfterFunc(deadlineAfter, w.expire)
	w.hedgeTimer = time.AfterFunc(noLimit, w.tryHedge)
	w.silentAfter(hedgeAfter)
	return w
}

// noLimit is the time set on a timer that is not to fire during an attempt.
const noLimit = 24 * time.Hour

// orNoLimit returns the limit, or noLimit for zero.
func orNoLimit(limit time.Duration) time.Duration {
	if limit == 0 {
		return noLimit
	}
	return limit
}

// expire ends the attempt and its hedge, as the request's deadline has passed.
func (w *silenceWatch) expire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.dropHedge(errTimeout)
	w.cancel(errTimeout)
}

// tryHedge hedges the attempt; if there is no other runner, it goes on waiting for the silent one.
func (w *silenceWatch) tryHedge() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended || w.hedges.pending != nil || w.hedges.winner != nil || time.Now().Before(w.hedgeAt) {
		// An outdated timer: it fired while the watch was restarted.
		return
	}
	w.timerDelay = max(w.timerDelay, time.Since(w.hedgeAt))
	if w.timerDelay >= stallThreshold && !w.stallExcused {
		// What arrived while the node was stalled is read first.
		w.stallExcused = true
		w.schedule(hedgeRetryInterval)
		return
	}
	if left := w.hedges.job.dispatcher.silenceLeft(w.silentAt); left > 0 {
		w.schedule(left)
		return
	}
	if !w.hedges.mayHedge() {
		return
	}
	choice, ok := w.hedges.reserve()
	if !ok {
		w.schedule(hedgeRetryInterval)
		return
	}
	h := w.hedges.begin(choice)
	go w.runHedge(h, w.resumeAfter)
}

// runHedge sends a hedge and ends the attempt if the hedge's runner answers.
func (w *silenceWatch) runHedge(h *hedge, resumeAfter string) {
	defer close(h.done)
	w.hedges.send(h, resumeAfter)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	needed := h.ctx.Err() == nil
	w.hedges.finish(h)
	switch {
	case w.hedges.winner != nil:
		w.cancel(errSilent)
	case needed && !w.ended:
		w.schedule(hedgeRetryInterval)
	}
}

// recordActivity notes that the runner sent something, and drops the hedge. False means that the
// other runner answered first: what this one sends now comes too late, as the other one resumes
// after the event before it.
func (w *silenceWatch) recordActivity() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hedges.winner != nil {
		return false
	}
	w.dropHedge(errAnswered)
	w.lastActivity, w.timerDelay, w.stallExcused = time.Now(), 0, false
	w.schedule(noLimit)
	w.deadlineTimer.Reset(maxStreamPause)
	return true
}

// bindBuild makes further hedges go to runners of a build only.
func (w *silenceWatch) bindBuild(build *backend.Build) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hedges.query.Build = build
}

// restart restarts the watch after events that were forwarded.
func (w *silenceWatch) restart(resumeAfter string, hedgeAfter time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resumeAfter = resumeAfter
	w.silentAfter(hedgeAfter)
}

// silentAfter sets after which silence to hedge; zero for none. mutex is held.
func (w *silenceWatch) silentAfter(limit time.Duration) {
	limit = orNoLimit(limit)
	w.silentAt = time.Now().Add(limit)
	w.schedule(limit)
}

// schedule sets when to check next. mutex is held.
func (w *silenceWatch) schedule(delay time.Duration) {
	w.hedgeAt = time.Now().Add(delay)
	w.hedgeTimer.Reset(delay)
}

// silence returns the time since the runner last sent something, and how late the timer noticed its
// silence: a large delay shows that the node itself was stalled.
func (w *silenceWatch) silence() (silent, timerDelay time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Since(w.lastActivity), w.timerDelay
}

// dropHedge cancels the pending hedge. mutex is held.
func (w *silenceWatch) dropHedge(cause error) {
	if w.hedges.pending != nil {
		w.hedges.pending.cancel(cause)
	}
}

// stop ends the watch and waits for the pending hedge. If one is needed to take over the request,
// it returns the one that answered; nil for none.
func (w *silenceWatch) stop(needed bool) *hedge {
	w.mutex.Lock()
	w.ended = true
	w.hedgeTimer.Stop()
	if !needed {
		w.dropHedge(errAnswered)
	}
	pending := w.hedges.pending
	w.mutex.Unlock()
	if pending != nil {
		<-pending.done
	}
	w.deadlineTimer.Stop()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hedges.winner != nil && !needed {
		w.hedges.discard(w.hedges.winner)
	}
	return w.hedges.winner
}
