package request

import (
	"context"
	"fmt"
	"time"

	"lilacvane/internal/claims"
	"lilacvane/internal/engine"
	"lilacvane/internal/fault"
)

const (
	stepServe  = "serve"
	stepAnswer = "read answer"
)

// job drives one request through its lifecycle.
type job struct {
	service   *Service
	request   Request
	sink      Sink
	started   time.Time
	timings   *Timings
	lifecycle Lifecycle
	claim     *claims.Claim
	// next is the sequence number of the chunk the caller gets next.
	next  int
	avoid string
}

// run returns nil when the whole answer was delivered.
func (j *job) run(ctx context.Context) error {
	err := j.serve(ctx)
	if err == nil {
		j.settle(fault.Done)
		return nil
	}
	failure := fault.From(err, stepServe)
	if fault.IsCode(err, fault.CodeDuplicate) {
		return failure
	}
	_ = j.lifecycle.Apply(EventStop)
	j.settle(j.lifecycle.Ran())
	final := *failure
	final.Ran = j.lifecycle.Ran()
	return &final
}

// settle records the outcome under the claimed key. Only a definite "not run"
// gives the key back; otherwise it stays taken.
func (j *job) settle(ran fault.Outcome) {
	if j.claim == nil {
		return
	}
	if ran == fault.NotDone {
		j.claim.NotRun()
		return
	}
	go j.claim.Ran()
}

func (j *job) serve(ctx context.Context) error {
	s := j.service
	s.Freshness.Fresh(ctx)
	unit, err := s.declared(j.request.Unit, stepAdmission)
	if fault.IsCode(err, fault.CodeUnknownModel) {
		s.Freshness.Ask(ctx)
		unit, err = s.declared(j.request.Unit, stepAdmission)
	}
	if err != nil {
		return err
	}
	throttler := s.throttler(unit)
	j.timings.Cold = !throttler.Ready()
	if err := j.takeClaim(ctx); err != nil {
		return err
	}
	for {
		done, err := j.try(ctx, throttler)
		if done || err != nil {
			return err
		}
		if !s.retries.Allow() {
			return fault.New(fault.CodeOverloaded, "retry", "the node's retry budget is used up").WithRetryAfter(throttler.ComeBack())
		}
	}
}

func (j *job) takeClaim(ctx context.Context) error {
	if !j.lifecycle.Once {
		return nil
	}
	claim, err := j.service.Claims.Claim(ctx, j.request.Key, j.request.ID)
	if err != nil {
		return err
	}
	j.claim = claim
	j.timings.Claimed = time.Since(j.started).Milliseconds()
	return j.lifecycle.Apply(EventClaim)
}

// try waits for a place and sends the request to its replica. It returns false
// without error when the request may be tried again.
func (j *job) try(ctx context.Context, throttler *Throttler) (bool, error) {
	unit, err := j.service.declared(j.request.Unit, stepQueue)
	if err != nil {
		return true, err
	}
	place, err := throttler.Acquire(ctx, Ask{Class: j.request.Class, Deadline: j.request.Deadline, Prefix: j.request.Prefix, Avoid: j.avoid})
	if err != nil {
		return true, err
	}
	j.timings.Tries++
	j.timings.Placed = time.Since(j.started).Milliseconds()
	j.timings.Runner = place.Replica.Runner
	served := false
	defer func() { place.Release(served) }()
	if err := j.lifecycle.Apply(EventSend); err != nil {
		return true, err
	}
	err = j.exchange(ctx, place, unit.Version)
	if err == nil {
		served = true
		return true, j.lifecycle.Apply(EventFinish)
	}
	return j.afterFailure(ctx, throttler, place, err)
}

// afterFailure decides whether a request goes on after its exchange failed.
func (j *job) afterFailure(ctx context.Context, throttler *Throttler, place *Place, err error) (bool, error) {
	failure := fault.From(err, stepServe)
	if failure.Ran == fault.NotDone && j.lifecycle.State() == Sent {
		place.Refused(failure.Code)
		j.avoid = place.Replica.Runner
		if applied := j.lifecycle.Apply(EventNotRun); applied != nil {
			return true, applied
		}
		throttler.nudge()
		if failure.Code == fault.CodeDeadline || ctx.Err() != nil {
			return true, failure
		}
		return false, nil
	}
	mayRepeat := !j.lifecycle.Once && j.next == 0 && ctx.Err() == nil && failure.Ran == fault.Unknown && time.Now().Before(j.request.Deadline)
	if !mayRepeat {
		return true, failure
	}
	place.Refused(failure.Code)
	j.avoid = place.Replica.Runner
	return false, j.lifecycle.Apply(EventAbandon)
}

// exchange sends the request and delivers the answer. Its error's outcome is
// definite when the runner stated that it did not run the request.
func (j *job) exchange(ctx context.Context, place *Place, version string) error {
	inference := j.service.Dialer(place.Replica.Address)
	attempt := fmt.Sprintf("%s.%d", j.request.ID, j.timings.Tries)
	j.log("send", "to runner "+place.Replica.Runner+" as "+attempt)
	streamContext, stop := context.WithCancel(ctx)
	defer stop()
	watch := j.watchFirstChunk(stop)
	defer watch.Stop()
	stream, err := inference.Start(streamContext, engine.Call{
		Request: attempt, Unit: j.request.Unit, Version: version,
		Priority: int(j.request.Class), Path: j.request.Path, Body: j.request.Body,
	})
	if err == nil {
		place.Heard(stream.Active())
		err = j.deliver(stream, attempt, watch)
	}
	for tries := 0; tries < resumeTries && j.worthResuming(streamContext, err); tries++ {
		j.timings.Resumes++
		time.Sleep(resumePause)
		stream, err = inference.Resume(streamContext, attempt, j.next)
		if err == nil {
			err = j.deliver(stream, attempt, watch)
		}
	}
	if err == nil {
		return nil
	}
	return j.giveUp(inference, attempt, place, err)
}

// watchFirstChunk stops the exchange when no part of the answer came by the
// deadline.
func (j *job) watchFirstChunk(stop context.CancelFunc) *time.Timer {
	return time.AfterFunc(time.Until(j.request.Deadline)+firstChunkGrace, stop)
}

// worthResuming tells whether the stream may be continued on the same runner.
func (j *job) worthResuming(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && fault.IsCode(err, fault.CodeInterrupted) && fault.OutcomeOf(err) == fault.Unknown
}

// deliver passes the chunks on in order. Chunks that came before are dropped, a
// gap or a foreign chunk interrupts the stream.
func (j *job) deliver(stream engine.Stream, attempt string, watch *time.Timer) error {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		if chunk.Request != attempt || chunk.Sequence > j.next {
			return &fault.Error{
				Code: fault.CodeInterrupted, Step: stepAnswer, Peer: j.timings.Runner, Ran: fault.Unknown,
				Message: fmt.Sprintf("got chunk %d of %s, expected %d of %s", chunk.Sequence, chunk.Request, j.next, attempt),
			}
		}
		if chunk.Sequence < j.next {
			continue
		}
		watch.Stop()
		if err := j.lifecycle.Apply(EventChunk); err != nil {
			return err
		}
		if j.timings.First < 0 {
			j.timings.First = time.Since(j.started).Milliseconds()
		}
		if chunk.Finish != "" && chunk.Total != j.next {
			return &fault.Error{Code: fault.CodeInterrupted, Step: stepAnswer, Peer: j.timings.Runner, Ran: fault.Unknown, Message: "the answer is not whole"}
		}
		if err := j.sink.Chunk(chunk); err != nil {
			return fault.At(fault.CodeCanceled, "write answer", "caller", fault.Unknown, errCallerGone)
		}
		j.next++
		if chunk.Finish != "" {
			return nil
		}
	}
}

// giveUp asks the runner to cancel what may be running. The runner's answer
// makes an unknown outcome definite: a request it had not started, or never
// received, will never run.
func (j *job) giveUp(inference engine.Inference, attempt string, place *Place, err error) error {
	failure := fault.From(err, stepServe)
	if failure.Ran == fault.NotDone {
		return failure
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	canceled := inference.Cancel(ctx, attempt)
	j.log("cancel", fmt.Sprintf("%s at runner %s after %v: %v", attempt, place.Replica.Runner, err, canceled))
	if j.next > 0 || !fault.IsCode(canceled, fault.CodeCanceled) || fault.OutcomeOf(canceled) != fault.NotDone {
		return failure
	}
	final := *failure
	final.Ran = fault.NotDone
	if time.Now().After(j.request.Deadline) {
		final.Code = fault.CodeDeadline
		final.RetryAfter = minimumRetry
	}
	return &final
}

func (j *job) log(step, reason string) {
	j.service.Log.Add("request/"+j.request.ID, step, reason, j.service.Catalog.Revision())
}
