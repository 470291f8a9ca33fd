package dispatch

import (
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

// timeoutError is the end of a request's time. It is context.DeadlineExceeded.
type timeoutError struct{}

// Error says what ended.
func (timeoutError) Error() string { return "the request's time is over" }

// Is reports that a deadline has passed.
func (timeoutError) Is(target error) bool { return target == context.DeadlineExceeded }

var (
	errTimeout error = timeoutError{}
	// errClosing ends all requests of a node whose grace is over.
	errClosing = errors.New("the node stops")
	// errSilent ends an attempt whose runner is silent while another may serve.
	errSilent = errors.New("the runner is silent")
)

// attempt places the request at a runner once and says whether to go on.
func (j *job) attempt(ctx context.Context) (again bool) {
	begun, choice, err := j.nextChoice(ctx)
	if err != nil {
		j.end(ctx, err)
		return false
	}
	if problem := j.quarantined(); problem != nil && begun == nil {
		j.dispatcher.Fleet.Release(choice, j.query)
		j.end(ctx, problem)
		return false
	}
	if j.sent == 0 {
		j.outcome.Placed = time.Since(j.request.Arrived)
	}
	j.sent++
	j.outcome.Attempts = j.sent
	j.outcome.Runner = choice.Runner.ID
	j.outcome.KeptTokens = choice.KeptTokens
	start := time.Now()
	if begun != nil {
		start = begun.start
	}
	result, err := j.exchange(ctx, choice, begun)
	if errors.Is(err, errNotAdmitted) {
		return j.passOver(ctx, choice, result, err)
	}
	j.dispatcher.Fleet.Done(choice, j.query, result.fleet, time.Since(start), result.started)
	j.noteHedges(result.hedges)
	if err == nil {
		j.noteRan()
		return false
	}
	j.outcome.Endings = append(j.outcome.Endings, result.ending)
	if result.timedOut {
		j.noteBroken(choice.Runner, result, err)
		j.fail(true, fault.From(err, "send request"))
		return false
	}
	j.noteFailure(choice, result, err, time.Since(start))
	// One that was only silent may be all that is left when the next one fails.
	if !j.mayReturn(choice, err) && result.ending != EndedBySilence {
		j.query.Exclude = append(j.query.Exclude, choice.Runner.ID)
	}
	if fault.OutcomeOf(err) != fault.NotDone {
		j.ran++
	}
	if result.next != nil {
		j.begun = result.next
		return true
	}
	if j.mayRepeat(ctx, err) {
		return true
	}
	j.end(ctx, err)
	return false
}

// passOver ends an attempt whose request was not sent, as its runner may get nothing since it
// was chosen, and says whether to go on. Hedges may have been sent while it waited for a
// connection.
func (j *job) passOver(ctx context.Context, choice fleet.Choice, result exchanged, err error) (again bool) {
	j.dispatcher.Fleet.Release(choice, j.query)
	j.sent--
	j.outcome.Attempts = j.sent
	j.noteHedges(result.hedges)
	j.log.Info("attempt not sent", "runner", choice.Runner.ID, "error", err.Error())
	if result.next != nil {
		j.begun = result.next
		return true
	}
	if ctx.Err() == nil && time.Until(j.deadline) >= minimumTime && j.ran < j.route.Attempts && j.sent < maximumSends {
		return true
	}
	j.end(ctx, err)
	return false
}

// noteHedges notes the hedges that did not go on with the request.
func (j *job) noteHedges(failed []*hedge) {
	for _, h := range failed {
		j.sent++
		j.outcome.Attempts = j.sent
		j.outcome.Endings = append(j.outcome.Endings, h.result.ending)
		j.noteFailure(h.choice, h.result, h.err, h.result.silent)
		if !j.mayReturn(h.choice, h.err) {
			j.query.Exclude = append(j.query.Exclude, h.choice.Runner.ID)
		}
		if fault.OutcomeOf(h.err) != fault.NotDone {
			j.ran++
		}
		if h.last != nil {
			j.last = h.last
		}
	}
}

// noteFailure logs an attempt that failed, with what tells a runner that was silent from a
// node that stood still: how late its own timer was.
func (j *job) noteFailure(choice fleet.Choice, result exchanged, err error, elapsed time.Duration) {
	log := j.log
	if j.noteBroken(choice.Runner, result, err) {
		log = log.WithValues("content", j.content().Short())
	}
	log.Info("attempt failed", "runner", choice.Runner.ID, "attempt", j.sent, "error", err.Error(), "ran", fault.OutcomeOf(err).String(),
		"elapsedMs", elapsed.Milliseconds(), "endedBy", string(result.ending), "events", j.passed(),
		"silentMs", result.silent.Milliseconds(), "lateMs", result.late.Milliseconds())
}

// nextChoice returns the hedge that goes on with the request, or waits for a runner.
func (j *job) nextChoice(ctx context.Context) (begun *hedge, choice fleet.Choice, err error) {
	if j.begun != nil {
		begun, j.begun = j.begun, nil
		return begun, begun.choice, nil
	}
	choice, err = j.place(ctx)
	return nil, choice, err
}

// mayReturn reports whether the request may go to the same runner again: the runner stated
// that it did not run it, as it holds the unit in a moment or is full now. The fleet leaves
// it alone for fleet.RefusalPause, or for the rest that it asked for. Without that a request
// whose only runner refused it once waited for its whole time and was refused though the runner
// held its model.
func (j *job) mayReturn(choice fleet.Choice, err error) bool {
	switch {
	case fault.IsCode(err, fault.CodeOverloaded):
		return j.engine || j.dispatcher.Fleet.Rests(choice.Runner.ID)
	case fault.IsCode(err, fault.CodeNotLoaded):
		return j.engine
	default:
		return false
	}
}

// mayRepeat decides whether a failed attempt may be followed by another one: it
// must not have run, or may run again; tries, time and budget must be left.
func (j *job) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || time.Until(j.deadline) < minimumTime {
		return false
	}
	notRun := fault.OutcomeOf(err) == fault.NotDone
	if !notRun && !j.route.Idempotent() {
		return false
	}
	if j.relay != nil && (!j.relay.resumable || j.relay.lastEvent == "") {
		return false
	}
	if j.ran >= j.route.Attempts || j.sent >= maximumSends {
		return false
	}
	if fault.IsCode(err, fault.CodeUnreachable) {
		// Nothing arrived at a runner, so nothing is repeated.
		return true
	}
	if !j.dispatcher.budget(j.query.Service).Take() {
		j.log.Info("retry budget spent", "service", j.query.Service)
		return false
	}
	return true
}

const (
	// minimumTime is the least time left for another attempt to be of use.
	minimumTime = 20 * time.Millisecond
	// maximumSends bounds the attempts of a request that runners keep refusing.
	maximumSends = 4
)

// exchanged is what an attempt taught about its runner.
type exchanged struct {
	fleet   fleet.Result
	started bool
	// timedOut is set when the request's time ended during the attempt.
	timedOut bool
	// ending is who ended it where it failed.
	ending Ending
	// silent is the time since the runner was heard of last, late how much too late the
	// watch found it silent.
	silent, late time.Duration
	// next is the hedge that goes on where the attempt failed, hedges are those that failed.
	next   *hedge
	hedges []*hedge
}

// exchange sends the request to the chosen runner, unless it was sent as a hedge, and passes
// its answer on. A nil error means that the client has its final answer.
func (j *job) exchange(parent context.Context, choice fleet.Choice, begun *hedge) (result exchanged, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	if begun != nil {
		ctx, cancel = begun.ctx, begun.cancel
	}
	defer cancel(nil)
	watch := newSilenceWatch(cancel, j.newHedges(parent, choice), j.lastEvent(), j.silenceLimit(), j.beginLimit())
	defer func() {
		result.ending = endingOf(ctx)
		result.silent, result.late = watch.silence()
		result.next = watch.settle(err != nil && parent.Err() == nil && !errors.Is(context.Cause(ctx), errTimeout))
		result.hedges = watch.hedges.failed
		result.timedOut = err != nil && result.next == nil && parent.Err() == nil && errors.Is(context.Cause(ctx), errTimeout)
	}()
	answer, err := j.begin(ctx, choice, begun)
	if err != nil {
		return j.unanswered(ctx, err)
	}
	defer answer.Close()
	j.noteLoad(choice.Runner.ID, answer.Header)
	if answer.NotRun {
		return j.notRun(choice, answer)
	}
	if j.streams(answer) {
		return j.relayStream(ctx, choice, answer, watch)
	}
	if j.relay != nil {
		return exchanged{fleet: fleet.Failed}, fault.At(fault.CodeInterrupted, "resume stream", choice.Runner.ID, fault.Done, answered(answer.Status))
	}
	return j.passWhole(ctx, choice, answer)
}

// begin sends the request and returns the beginning of its answer, or that of a hedge.
func (j *job) begin(ctx context.Context, choice fleet.Choice, begun *hedge) (*upstream.Answer, error) {
	if begun != nil {
		return begun.answer, nil
	}
	j.log.V(1).Info("request sent", "runner", choice.Runner.ID, "unit", j.query.Unit.String(), "costMs", int(choice.Cost),
		"keptTokens", choice.KeptTokens, "unreadTokens", choice.UnreadTokens, "inFlight", choice.InFlight,
		"candidates", choice.Candidates, "attempt", j.sent)
	suspicion := j.suspectLater(choice)
	defer suspicion.Stop()
	call := j.call(choice, j.query, j.lastEvent())
	// Nobody else is asked when nothing comes back on a connection that rested.
	call.Proved = j.silenceLimit() == 0 || choice.Candidates == 1
	return j.dispatcher.Pool.Do(ctx, call)
}

// unanswered tells what an attempt taught whose runner began no answer.
func (j *job) unanswered(ctx context.Context, err error) (exchanged, error) {
	if fault.IsCode(err, fault.CodeUnreachable) && ctx.Err() == nil {
		return exchanged{fleet: fleet.Unreachable}, err
	}
	return exchanged{fleet: j.failure(ctx)}, err
}

// answered is the error of a runner that answered with a status of no use.
func answered(status int) error { return fmt.Errorf("runner answered %d", status) }

// failure tells whose doing the end of an attempt was.
func (j *job) failure(ctx context.Context) fleet.Result {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		return fleet.Canceled
	}
	return fleet.Failed
}

// notRun takes a runner's statement that it did not run the request.
func (j *job) notRun(choice fleet.Choice, answer *upstream.Answer) (exchanged, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, refusalLimit))
	err := fault.At(fault.CodeOverloaded, "send request", choice.Runner.ID, fault.NotDone, fmt.Errorf("runner answered %d, not run", answer.Status))
	if answer.Status == http.StatusMisdirectedRequest {
		err.Code = fault.CodeNotLoaded
		return exchanged{fleet: fleet.NotHeld}, err
	}
	return exchanged{fleet: fleet.Busy}, err
}

// refusalLimit bounds what is read of a refusal's body.
const refusalLimit = 64 << 10

func (j *job) streams(answer *upstream.Answer) bool {
	return j.route.Kind == config.Stream && answer.Status == http.StatusOK
}

// errNotAdmitted is the error of a request that was not sent, as its runner may get nothing
// since it was chosen.
var errNotAdmitted = errors.New("the runner may get nothing any more")

// call is the request as it is sent to a runner that was chosen by a query; a stream goes on
// after an event. A connection may take seconds to come up, in which the runner may have said
// that it leaves.
func (j *job) call(choice fleet.Choice, query fleet.Query, after string) upstream.Call {
	header := j.request.Header.Clone()
	names := j.dispatcher.Names
	header.Set(names.RequestID, j.request.ID)
	header.Set(names.ExpectRunner, choice.Runner.Name())
	header.Set(names.Deadline, strconv.FormatInt(max(j.clientTimeLeft().Milliseconds(), 1), 10))
	j.tellTenant(header)
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
		Host: j.request.Host, Header: header, Body: j.request.Body, RequestID: j.request.ID,
		Admit: func() error {
			if j.dispatcher.AwaitReading != nil {
				j.dispatcher.AwaitReading()
			}
			if j.dispatcher.Fleet.Allowed(choice, query) {
				return nil
			}
			return errNotAdmitted
		},
	}
}

const lowestUrgency = 9

// clientTimeLeft is the time the client still waits.
func (j *job) clientTimeLeft() time.Duration {
	if j.request.Patience == 0 {
		return time.Until(j.deadline)
	}
	return j.request.Patience - time.Since(j.request.Arrived)
}

func (j *job) noteLoad(runner string, header http.Header) {
	if load, ok := backend.ParseWorkload(header.Get(j.dispatcher.Names.Load)); ok {
		j.dispatcher.Fleet.Told(runner, load)
	}
}
