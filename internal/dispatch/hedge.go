package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
)

// errAnswered cancels a hedge whose request another runner answered. It is a cancellation, which
// says nothing about the connection: the hedge's runner may only have been the slower one.
var errAnswered = fmt.Errorf("another runner answered: %w", context.Canceled)

// hedge is an attempt that runs beside another one whose runner is silent. The one that answers
// first serves the request. All fields but choice, query, ctx, start and done belong to its goroutine
// until done is closed.
type hedge struct {
	choice fleet.Choice
	// query is the one that chose the runner.
	query fleet.Query
	// ctx is the context of the attempt, cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	start  time.Time
	// done is closed once its runner answered or failed.
	done chan struct{}
	// answer is the beginning of its runner's answer; nil if there is none.
	answer *upstream.Answer
	// result and err say how it failed, failure is an error answer of the runner that may be
	// forwarded.
	result  attemptResult
	err     error
	failure *bufferedAnswer
}

// hedges sends the hedges of one attempt, one at a time. Its fields are guarded by the watch's
// mutex. Of the job it uses only what does not change during an attempt.
type hedges struct {
	job *job
	ctx context.Context
	// query chooses the runners, excluding those that were tried.
	query fleet.Query
	// sent and ran are the job's counts, including hedges.
	sent, ran int

	// pending is the hedge in progress, winner the one that answered first, failed are the others.
	pending *hedge
	winner  *hedge
	failed  []*hedge
}

// newHedges returns the hedges of an attempt at a runner; ctx is the request's.
func (j *job) newHedges(ctx context.Context, silent fleet.Choice) *hedges {
	h := &hedges{job: j, ctx: ctx, query: j.query, sent: j.sent, ran: j.ran}
	h.query.Exclude = append(slices.Clone(j.query.Exclude), silent.Runner.ID)
	return h
}

// mayHedge reports whether the request may go to one more runner. The attempt beside the hedge
// counts as a run, as it may be one.
func (h *hedges) mayHedge() bool {
	return h.job.trial == nil && !h.job.refusedNow(h.query.Unit) && h.sent < maxSends && h.ran+1 < h.job.route.Attempts && h.ctx.Err() == nil && time.Until(h.job.deadline) >= minAttemptTime
}

// reserve chooses a runner and takes a retry from the budget; false when there is none now.
func (h *hedges) reserve() (fleet.Choice, bool) {
	d := h.job.dispatcher
	choice, ok := d.Fleet.Choose(h.query)
	if !ok {
		return fleet.Choice{}, false
	}
	if choice.Full || !d.retryBudget(h.query.Service).Take() {
		d.Fleet.Release(choice, h.query)
		return fleet.Choice{}, false
	}
	return choice, true
}

// begin records a hedge that is about to be sent.
func (h *hedges) begin(choice fleet.Choice) *hedge {
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.pending = &hedge{choice: choice, query: h.query, ctx: ctx, cancel: cancel, start: time.Now(), done: make(chan struct{})}
	h.sent++
	return h.pending
}

// send sends a hedge, which resumes its stream after the given event, and waits for the beginning
// of an answer that can take over the request.
func (h *hedges) send(attempt *hedge, after string) {
	j, runner := h.job, attempt.choice.Runner.ID
	if !j.dispatcher.Fleet.Allowed(attempt.choice, attempt.query) {
		// No connection is made to a runner that became ineligible.
		attempt.err = fault.At(fault.CodeUnreachable, "send request", runner, fault.NotDone, errNotAdmitted)
		return
	}
	j.log.V(1).Info("request sent", "runner", runner, "unit", attempt.query.Unit.String(), "hedge", true, "resumeAfter", after)
	stopSuspecting := j.suspectLater(attempt.ctx, attempt.choice)
	defer stopSuspecting()
	call := j.call(attempt.choice, attempt.query, after)
	// The attempt beside it may be waiting on a connection that is already silent.
	call.Proved = true
	answer, err := j.dispatcher.Pool.Do(attempt.ctx, call)
	if err != nil {
		attempt.result, attempt.err = j.noAnswerResult(attempt.ctx, err)
		return
	}
	j.recordLoad(runner, answer.Header)
	attempt.result, attempt.failure, attempt.err = j.checkTakeover(attempt.choice, answer, after != "")
	if attempt.err == nil {
		// Some runners send the head of an answer before they have accepted the request.
		if err := answer.AwaitBody(); err != nil {
			attempt.result, attempt.err = j.noAnswerResult(attempt.ctx, err)
		}
	}
	if attempt.err != nil {
		answer.Close()
		return
	}
	attempt.answer = answer
}

// checkTakeover returns why a hedge's answer cannot take over the request, and the runner's error
// answer if that may be forwarded; a nil error means that it can.
func (j *job) checkTakeover(choice fleet.Choice, answer *upstream.Answer, resumes bool) (attemptResult, *bufferedAnswer, error) {
	failed := attemptResult{fleet: fleet.Failed}
	switch {
	case answer.NotRun:
		result, err := j.notRun(choice, answer)
		return result, nil, err
	case !j.authentic(&bufferedAnswer{status: answer.Status, header: answer.Header}):
		return failed, nil, fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, errUnsigned)
	case resumes && !j.streams(answer):
		return failed, nil, fault.At(fault.CodeInterrupted, "resume stream", choice.Runner.ID, fault.Done, statusError(answer.Status))
	case answer.Status >= http.StatusInternalServerError:
		buffered, err := j.readBuffered(choice, answer)
		if err != nil || j.request.OwnErrors || promisesNotRun(answer.Status) {
			buffered.release()
			buffered = nil
		}
		return failed, buffered, fault.At(fault.CodeInterrupted, "send request", choice.Runner.ID, fault.Done, statusError(answer.Status))
	default:
		return attemptResult{}, nil, nil
	}
}

// finish records the outcome of the pending hedge.
func (h *hedges) finish(ended *hedge) {
	h.pending = nil
	switch {
	case ended.err != nil:
		h.fail(ended)
	case context.Cause(ended.ctx) != nil:
		h.discard(ended)
	default:
		h.winner = ended
	}
}

// discard ends a hedge whose answer is not needed.
func (h *hedges) discard(unneeded *hedge) {
	unneeded.cancel(errAnswered)
	unneeded.answer.Close()
	unneeded.result = attemptResult{fleet: fleet.Canceled}
	unneeded.err = fault.At(fault.CodeCanceled, "read answer", unneeded.choice.Runner.ID, fault.Unknown, context.Cause(unneeded.ctx))
	h.winner = nil
	h.fail(unneeded)
}

// fail records a hedge that does not take over the request.
func (h *hedges) fail(failed *hedge) {
	failed.result.ending = endingOf(failed.ctx)
	failed.result.silent, failed.result.sent = time.Since(failed.start), failed.start
	failed.cancel(nil)
	if fault.OutcomeOf(failed.err) != fault.NotDone {
		h.ran++
	}
	if !h.job.mayRetrySameRunner(failed.choice, failed.err) {
		h.query.Exclude = append(h.query.Exclude, failed.choice.Runner.ID)
	}
	if errors.Is(failed.err, errNotAdmitted) {
		h.job.dispatcher.Fleet.Release(failed.choice, h.query)
	} else {
		h.job.dispatcher.Fleet.Done(failed.choice, h.query, failed.result.fleet, time.Since(failed.start), false)
	}
	h.failed = append(h.failed, failed)
}
