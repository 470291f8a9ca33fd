package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
)

// timeoutError says that a request's deadline has passed. It matches context.DeadlineExceeded.
type timeoutError struct{}

// Error describes the timeout.
func (timeoutError) Error() string { return "the request's time is over" }

// Is reports whether target is context.DeadlineExceeded.
func (timeoutError) Is(target error) bool { return target == context.DeadlineExceeded }

var (
	errTimeout error = timeoutError{}
	// errClosing ends all requests of a node whose grace period is over.
	errClosing = errors.New("the node stops")
	// errSilent ends an attempt whose runner is silent while another one may serve the request.
	errSilent = errors.New("the runner is silent")
)

// attempt sends the request to one runner and reports whether to try again.
func (j *job) attempt(ctx context.Context) (again bool) {
	takeover, choice, err := j.nextChoice(ctx)
	if err != nil {
		j.end(ctx, err)
		return false
	}
	if takeover == nil {
		if problem := cmp.Or(j.quarantined(), j.checkStop()); problem != nil {
			j.dispatcher.Fleet.Release(choice, j.query)
			j.end(ctx, problem)
			return false
		}
		if ready, again := j.beginTrial(ctx, choice); !ready {
			return again
		}
	}
	if j.sent == 0 {
		j.outcome.Placed = time.Since(j.request.Arrived)
	}
	j.sent++
	j.outcome.Attempts = j.sent
	j.outcome.Runner, j.outcome.Build = choice.Runner.ID, choice.Runner.Build
	j.outcome.KeptTokens = choice.KeptTokens
	start := time.Now()
	if takeover != nil {
		start = takeover.start
	}
	result, err := j.exchange(ctx, choice, takeover)
	result.sent, result.trial = start, j.trial != nil
	j.endTrial(choice.Runner.ID, err)
	if errors.Is(err, errNotAdmitted) || j.noPathInHomes(choice, err) {
		return j.endUnsent(ctx, choice, result, err)
	}
	j.dispatcher.Fleet.Done(choice, j.query, result.fleet, time.Since(start), result.started)
	j.recordHedges(result.failedHedges)
	if err == nil {
		j.reportSuccess(choice.Runner, result)
		return false
	}
	j.outcome.Endings = append(j.outcome.Endings, result.ending)
	if result.timedOut {
		j.reportPossibleCrash(choice.Runner, result, err)
		j.fail(true, fault.From(err, "send request"))
		return false
	}
	j.recordFailure(choice, result, err, time.Since(start))
	// A runner that was only silent stays a candidate: it may be all that is left when the next one
	// fails.
	if !j.mayRetrySameRunner(choice, err) && result.ending != EndedBySilence {
		j.query.Exclude = append(j.query.Exclude, choice.Runner.ID)
	}
	if fault.OutcomeOf(err) != fault.NotDone {
		j.ran++
	}
	if result.takeover != nil {
		j.takeover = result.takeover
		return true
	}
	if j.mayRetry(ctx, err) {
		return true
	}
	j.end(ctx, err)
	return false
}

// endUnsent ends an attempt whose request was not sent, as it may not go to the runner or on the way to
// it, and reports whether to try again. Hedges may have been sent while the attempt waited for a connection.
func (j *job) endUnsent(ctx context.Context, choice fleet.Choice, result attemptResult, err error) (again bool) {
	j.dispatcher.Fleet.Release(choice, j.query)
	j.sent--
	j.outcome.Attempts = j.sent
	j.recordHedges(result.failedHedges)
	j.log.Info("attempt not sent", "runner", choice.Runner.ID, "error", err.Error())
	if result.takeover != nil {
		j.takeover = result.takeover
		return true
	}
	if ctx.Err() == nil && time.Until(j.deadline) >= minAttemptTime && j.ran < j.route.Attempts && j.sent < maxSends {
		return true
	}
	j.end(ctx, err)
	return false
}

// recordHedges records the hedges that did not take over the request.
func (j *job) recordHedges(failed []*hedge) {
	for _, h := range failed {
		j.sent++
		j.outcome.Attempts = j.sent
		j.outcome.Endings = append(j.outcome.Endings, h.result.ending)
		j.recordFailure(h.choice, h.result, h.err, h.result.silent)
		if !j.mayRetrySameRunner(h.choice, h.err) {
			j.query.Exclude = append(j.query.Exclude, h.choice.Runner.ID)
		}
		if fault.OutcomeOf(h.err) != fault.NotDone {
			j.ran++
		}
		if h.failure != nil {
			j.holdFailure(h.failure)
		}
	}
}

// recordFailure logs a failed attempt. The delay of the node's own timer distinguishes a silent
// runner from a node that was stalled itself.
func (j *job) recordFailure(choice fleet.Choice, result attemptResult, err error, elapsed time.Duration) {
	log := j.log
	if j.reportPossibleCrash(choice.Runner, result, err) {
		log = log.WithValues("content", j.contentIdentity().Short(), "parts", j.sharedParts())
	}
	log.Info("attempt failed", "runner", choice.Runner.ID, "build", string(choice.Runner.Build), "attempt", j.sent, "error", err.Error(), "ran", fault.OutcomeOf(err).String(),
		"elapsedMs", elapsed.Milliseconds(), "endedBy", string(result.ending), "events", j.forwarded(),
		"silentMs", result.silent.Milliseconds(), "lateMs", result.timerDelay.Milliseconds())
}

// nextChoice returns the hedge that takes over the request, or waits for a runner.
func (j *job) nextChoice(ctx context.Context) (takeover *hedge, choice fleet.Choice, err error) {
	if j.takeover != nil {
		takeover, j.takeover = j.takeover, nil
		return takeover, takeover.choice, nil
	}
	choice, err = j.selectRunner(ctx)
	return nil, choice, err
}

// mayRetrySameRunner reports whether the request may go to the same runner again: the runner stated
// that it did not run it, as it will hold the unit in a moment or is full now. The fleet skips the
// runner for fleet.RefusalPause, or for the rest that it asked for. Without this, a request whose
// only runner refused it once waited until its deadline and was refused although the runner held
// its model.
func (j *job) mayRetrySameRunner(choice fleet.Choice, err error) bool {
	switch {
	case fault.IsCode(err, fault.CodeOverloaded):
		return j.engine || j.dispatcher.Fleet.Rests(choice.Runner.ID)
	case fault.IsCode(err, fault.CodeNotLoaded):
		return j.engine
	default:
		return false
	}
}

// mayRetry decides whether a failed attempt may be followed by another one: the request must not
// have run or must be idempotent, and attempts, time and retry budget must be left.
func (j *job) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || time.Until(j.deadline) < minAttemptTime {
		return false
	}
	notRun := fault.OutcomeOf(err) == fault.NotDone
	if !notRun && !j.route.Idempotent() {
		return false
	}
	if j.stream != nil && (!j.stream.resumable || j.stream.lastEventID == "") {
		return false
	}
	if j.ran >= j.route.Attempts || j.sent >= maxSends {
		return false
	}
	if fault.IsCode(err, fault.CodeUnreachable) {
		// Nothing reached a runner, so nothing is repeated.
		return true
	}
	if !j.dispatcher.retryBudget(j.query.Service).Take() {
		j.log.Info("retry budget spent", "service", j.query.Service)
		return false
	}
	return true
}

const (
	// minAttemptTime is the least time left for which another attempt is worthwhile.
	minAttemptTime = 20 * time.Millisecond
	// maxSends bounds the attempts of a request that runners keep refusing.
	maxSends = 4
)

// attemptResult is what an attempt showed about its runner.
type attemptResult struct {
	fleet   fleet.Result
	started bool
	// sent is when the request was about to be sent, trial whether as a trial.
	sent  time.Time
	trial bool
	// timedOut is set when the request's deadline passed during the attempt.
	timedOut bool
	// ending says who ended a failed attempt.
	ending Ending
	// silent is the time since the runner last sent something, timerDelay how late the watch's
	// timer noticed its silence.
	silent, timerDelay time.Duration
	// takeover is the hedge that takes over from a failed attempt, failedHedges are those that
	// failed.
	takeover     *hedge
	failedHedges []*hedge
}

// exchange sends the request to the chosen runner, unless it was sent as a hedge already, and
// forwards its answer. A nil error means that the client has its final answer.
func (j *job) exchange(parent context.Context, choice fleet.Choice, takeover *hedge) (result attemptResult, err error) {
	var answer *upstream.Answer
	ctx, cancel := context.WithCancelCause(parent)
	if takeover != nil {
		ctx, cancel = takeover.ctx, takeover.cancel
	}
	defer cancel(nil)
	watch := newSilenceWatch(cancel, j.newHedges(parent, choice), j.lastEventID(), j.silenceLimit(), j.beginLimit())
	defer func() {
		result.ending = endingOf(ctx)
		result.silent, result.timerDelay = watch.silence()
		result.takeover = watch.stop(err != nil && parent.Err() == nil && !errors.Is(context.Cause(ctx), errTimeout))
		result.failedHedges = watch.hedges.failed
		result.timedOut = err != nil && result.takeover == nil && parent.Err() == nil && errors.Is(context.Cause(ctx), errTimeout)
	}()
	answer, err = j.begin(ctx, choice, takeover)
	if err != nil {
		return j.noAnswerResult(ctx, err)
	}
	defer answer.Close()
	j.outcome.Via, j.outcome.Framing, j.outcome.UnfinishedBytes = answer.Via, answer.Framing, 0
	j.outcome.Signed = answer.Header.Get(j.dispatcher.Headers.Signature) != ""
	j.recordLoad(choice.Runner.ID, answer.Header)
	if answer.NotRun {
		return j.notRun(choice, answer)
	}
	if j.streams(answer) {
		return j.forwardStream(ctx, choice, answer, watch)
	}
	if j.stream != nil {
		return attemptResult{fleet: fleet.Failed}, fault.At(fault.CodeInterrupted, "resume stream", choice.Runner.ID, fault.Done, statusError(answer.Status))
	}
	return j.forwardBuffered(ctx, choice, answer)
}

// begin sends the request and returns the beginning of its answer, or that of the hedge that took
// over.
func (j *job) begin(ctx context.Context, choice fleet.Choice, takeover *hedge) (*upstream.Answer, error) {
	if takeover != nil {
		return takeover.answer, nil
	}
	j.log.V(1).Info("request sent", "runner", choice.Runner.ID, "unit", j.query.Unit.String(), "costMs", int(choice.Cost),
		"keptTokens", choice.KeptTokens, "unreadTokens", choice.UnreadTokens, "inFlight", choice.InFlight,
		"candidates", choice.Candidates, "attempt", j.sent)
	stopSuspecting := j.suspectLater(ctx, choice)
	defer stopSuspecting()
	call := j.call(choice, j.query, j.lastEventID())
	// If a connection that had been idle turns out to be silent, no other runner is tried.
	call.Proved = j.silenceLimit() == 0 || choice.Candidates == 1
	admit := call.Admit
	// Connecting may take seconds, in which the node may have begun to stop.
	call.Admit = func() error {
		if err := admit(); err != nil {
			return err
		}
		if j.checkStop() != nil {
			return errNotAdmitted
		}
		return nil
	}
	return j.dispatcher.Pool.Do(ctx, call)
}

// noAnswerResult returns the result of an attempt whose runner began no answer.
func (j *job) noAnswerResult(ctx context.Context, err error) (attemptResult, error) {
	if fault.IsCode(err, fault.CodeUnreachable) && ctx.Err() == nil {
		return attemptResult{fleet: fleet.Unreachable}, err
	}
	if fault.IsCode(err, fault.CodeNoPathInHomes) {
		return attemptResult{fleet: fleet.Canceled}, err
	}
	return attemptResult{fleet: j.failureResult(ctx)}, err
}

// statusError is the error of a runner that answered with an unusable status.
func statusError(status int) error { return fmt.Errorf("runner answered %d", status) }

// failureResult distinguishes an attempt whose runner failed from one that was canceled.
func (j *job) failureResult(ctx context.Context) fleet.Result {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		return fleet.Canceled
	}
	return fleet.Failed
}

// notRun handles a runner's statement that it did not run the request.
func (j *job) notRun(choice fleet.Choice, answer *upstream.Answer) (attemptResult, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, refusalLimit))
	err := fault.At(fault.CodeOverloaded, "send request", choice.Runner.ID, fault.NotDone, fmt.Errorf("runner answered %d, not run", answer.Status))
	if answer.Status == http.StatusMisdirectedRequest {
		err.Code = fault.CodeNotLoaded
		return attemptResult{fleet: fleet.NotHeld}, err
	}
	return attemptResult{fleet: fleet.Busy}, err
}

// refusalLimit bounds, in bytes, what is read of the body of a refusal.
const refusalLimit = 64 << 10

// streams reports whether an answer is forwarded event by event.
func (j *job) streams(answer *upstream.Answer) bool {
	return j.route.Kind == config.Stream && answer.Status == http.StatusOK
}

// errNotAdmitted is the error of a request that was not sent, as its runner became ineligible, or the
// request itself refused, after the runner was chosen.
var errNotAdmitted = errors.New("the runner may not get the request any more")

// call builds the request as it is sent to a runner that was chosen by a query; a stream resumes
// after the given event. Whether the runner is eligible and the request allowed is checked again right
// before the request is sent: connecting may take seconds, in which the runner may have announced
// that it leaves, or the request have crashed others.
func (j *job) call(choice fleet.Choice, query fleet.Query, after string) upstream.Call {
	header := j.request.Header.Clone()
	names := j.dispatcher.Headers
	header.Set(names.RequestID, j.request.ID)
	header.Set(names.ExpectRunner, choice.Runner.Name())
	header.Set(names.Deadline, j.formatTimeLeft())
	j.setTenantHeader(header)
	if j.engine {
		header.Set(names.Urgency, strconv.Itoa(min(j.priority(), lowestUrgency)))
	}
	if after != "" {
		header.Set(names.ResumeAfter, after)
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""}
	}
	return upstream.Call{
		Runner: choice.Runner.Name(), Incarnation: choice.Runner.ID, Address: choice.Runner.Address, Method: j.request.Method, Target: j.request.Target,
		Host: j.request.Host, Header: header, Body: j.request.Body, RequestID: j.request.ID, Homes: query.Homes,
		Admit: func() error {
			if j.dispatcher.AwaitPendingReads != nil {
				j.dispatcher.AwaitPendingReads()
			}
			// Connecting took a part of the time.
			header.Set(names.Deadline, j.formatTimeLeft())
			if !j.dispatcher.Fleet.Allowed(choice, query) || j.refusedNow(query.Unit) {
				return errNotAdmitted
			}
			j.request.Start.Sent()
			return nil
		},
	}
}

// lowestUrgency is the last of the ten urgencies of engines.
const lowestUrgency = 9

// formatTimeLeft returns the time that the client will still wait as runners read it, in
// milliseconds.
func (j *job) formatTimeLeft() string {
	return strconv.FormatInt(max(j.clientTimeLeft().Milliseconds(), 1), 10)
}

// clientTimeLeft returns how long the client will still wait.
func (j *job) clientTimeLeft() time.Duration {
	if j.request.Patience == 0 {
		return time.Until(j.deadline)
	}
	return j.request.Patience - time.Since(j.request.Arrived)
}

// recordLoad records the workload that a runner's answer reports, if any.
func (j *job) recordLoad(runner string, header http.Header) {
	if load, ok := backend.ParseWorkload(header.Get(j.dispatcher.Headers.Load)); ok {
		j.dispatcher.Fleet.ObserveWorkload(runner, load)
	}
}
