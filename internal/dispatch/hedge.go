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
	"lilacvane/internal/poison"
	"lilacvane/internal/upstream"
)

// errAnswered ends a hedge whose request another runner answered. It is a cancellation, which
// says nothing about the connection: a hedge's runner may only have been the slower one.
var errAnswered = fmt.Errorf("another runner answered: %w", context.Canceled)

// hedge is an attempt beside another one whose runner is silent. The one that answers
// first goes on with the request. All but choice, ctx, start and done is its goroutine's
// until done is closed.
type hedge struct {
	choice fleet.Choice
	// ctx is the attempt's, cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	start  time.Time
	// done is closed once its runner answered or failed.
	done chan struct{}
	// answer is the beginning of its runner's answer; nil where none came.
	answer *upstream.Answer
	// result and err say how it failed, last is a runner's own failure that may be passed on.
	result exchanged
	err    error
	last   *wholeAnswer
}

// hedges sends the hedges of one attempt, one at a time. Its fields are guarded by the
// watch's mutex. Of the job it uses what does not change during an attempt.
type hedges struct {
	job *job
	ctx context.Context
	// query chooses the runners, all but those that were tried.
	query fleet.Query
	// content is the job's; not set where no runner had ended under any request.
	content *poison.Identity
	// sent and ran are the job's, hedges included.
	sent, ran int

	// asked is the hedge under way, won the one that answered first, failed are the others.
	asked  *hedge
	won    *hedge
	failed []*hedge
}

// newHedges returns the hedges of an attempt at a runner; ctx is the request's.
func (j *job) newHedges(ctx context.Context, silent fleet.Choice) *hedges {
	h := &hedges{job: j, ctx: ctx, query: j.query, sent: j.sent, ran: j.ran}
	h.query.Exclude = append(slices.Clone(j.query.Exclude), silent.Runner.ID)
	if j.watched() {
		content := j.content()
		h.content = &content
	}
	return h
}

// quarantined reports whether the request is not to be run any more.
func (h *hedges) quarantined() bool {
	if h.content == nil {
		return false
	}
	_, refused := h.job.dispatcher.Quarantine.Refused(*h.content)
	return refused
}

// mayAsk reports whether the request may go to one more runner: the attempt beside the
// hedge counts, as it may run.
func (h *hedges) mayAsk() bool {
	return !h.quarantined() && h.sent < maximumSends && h.ran+1 < h.job.route.Attempts && h.ctx.Err() == nil && time.Until(h.job.deadline) >= minimumTime
}

// reserve chooses and pays for a runner; false when there is none now.
func (h *hedges) reserve() (fleet.Choice, bool) {
	d := h.job.dispatcher
	choice, ok := d.Fleet.Choose(h.query)
	if !ok {
		return fleet.Choice{}, false
	}
	if choice.Full || !d.budget(h.query.Service).Take() {
		d.Fleet.Release(choice, h.query)
		return fleet.Choice{}, false
	}
	return choice, true
}

// begin notes a hedge that is about to be sent.
func (h *hedges) begin(choice fleet.Choice) *hedge {
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.asked = &hedge{choice: choice, ctx: ctx, cancel: cancel, start: time.Now(), done: make(chan struct{})}
	h.sent++
	return h.asked
}

// ask sends a hedge, from after its stream's last event on, and waits for the beginning of
// an answer that goes on with the request.
func (h *hedges) ask(asked *hedge, after string) {
	j, runner := h.job, asked.choice.Runner.ID
	if !j.dispatcher.Fleet.Allowed(asked.choice, h.query) {
		// No connection is made for what may not go there.
		asked.err = fault.At(fault.CodeUnreachable, "send request", runner, fault.NotDone, errNotAdmitted)
		return
	}
	j.log.V(1).Info("request sent", "runner", runner, "unit", h.query.Unit.String(), "hedge", true, "resumeAfter", after)
	suspicion := j.suspectLater(asked.choice)
	defer suspicion.Stop()
	call := j.call(asked.choice, h.query, after)
	// The attempt beside it may wait on a connection that is silent already.
	call.Proved = true
	answer, err := j.dispatcher.Pool.Do(asked.ctx, call)
	if err != nil {
		asked.result, asked.err = j.unanswered(asked.ctx, err)
		return
	}
	j.noteLoad(runner, answer.Header)
	asked.result, asked.last, asked.err = j.takesOver(asked.choice, answer, after != "")
	if asked.err == nil {
		// Some runners send the head of an answer before they have taken up the request.
		if err := answer.Await(); err != nil {
			asked.result, asked.err = j.unanswered(asked.ctx, err)
		}
	}
	if asked.err != nil {
		answer.Close()
		return
	}
	asked.answer = answer
}

// takesOver returns why a hedge's answer cannot go on with the request, and the runner's
// own failure if that may be passed on; a nil error means that it can.
func (j *job) takesOver(choice fleet.Choice, answer *upstream.Answer, resumes bool) (exchanged, *wholeAnswer, error) {
	failed := exchanged{fleet: fleet.Failed}
	switch {
	case answer.NotRun:
		result, err := j.notRun(choice, answer)
		return result, nil, err
	case !j.genuine(&wholeAnswer{status: answer.Status, header: answer.Header}):
		return failed, nil, fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, errUnsigned)
	case resumes && !j.streams(answer):
		return failed, nil, fault.At(fault.CodeInterrupted, "resume stream", choice.Runner.ID, fault.Done, answered(answer.Status))
	case answer.Status >= http.StatusInternalServerError:
		whole, err := readWhole(choice, answer)
		if err != nil || j.request.OwnErrors || promisesNotRun(answer.Status) {
			whole = nil
		}
		return failed, whole, fault.At(fault.CodeInterrupted, "send request", choice.Runner.ID, fault.Done, answered(answer.Status))
	default:
		return exchanged{}, nil, nil
	}
}

// end notes what became of the hedge under way.
func (h *hedges) end(asked *hedge) {
	h.asked = nil
	switch {
	case asked.err != nil:
		h.fail(asked)
	case context.Cause(asked.ctx) != nil:
		h.drop(asked)
	default:
		h.won = asked
	}
}

// drop ends a hedge whose answer is not needed.
func (h *hedges) drop(unneeded *hedge) {
	unneeded.cancel(errAnswered)
	unneeded.answer.Close()
	unneeded.result = exchanged{fleet: fleet.Canceled}
	unneeded.err = fault.At(fault.CodeCanceled, "read answer", unneeded.choice.Runner.ID, fault.Unknown, context.Cause(unneeded.ctx))
	h.won = nil
	h.fail(unneeded)
}

// fail notes a hedge that does not go on with the request.
func (h *hedges) fail(failed *hedge) {
	failed.result.ending = endingOf(failed.ctx)
	failed.result.silent = time.Since(failed.start)
	failed.cancel(nil)
	if fault.OutcomeOf(failed.err) != fault.NotDone {
		h.ran++
	}
	if !h.job.mayReturn(failed.choice, failed.err) {
		h.query.Exclude = append(h.query.Exclude, failed.choice.Runner.ID)
	}
	if errors.Is(failed.err, errNotAdmitted) {
		h.job.dispatcher.Fleet.Release(failed.choice, h.query)
	} else {
		h.job.dispatcher.Fleet.Done(failed.choice, h.query, failed.result.fleet, time.Since(failed.start), false)
	}
	h.failed = append(h.failed, failed)
}
