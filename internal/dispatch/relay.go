package dispatch

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
)

const (
	readSize = 4 << 10
	// maximumEvent bounds one event of a stream.
	maximumEvent = 1 << 20
)

// relay is a stream whose head went out to the client.
type relay struct {
	resumable bool
	// spool passes the events on to the client.
	spool *spool
	// lastEvent is the identifier of the last whole event passed on.
	lastEvent string
	passed    int
	// passedAt is when events were passed on last.
	passedAt time.Time
}

// relayStream passes a stream on, whole events only, as they come. The head goes
// out with the first event, so that until then another runner may be tried.
func (j *job) relayStream(ctx context.Context, choice fleet.Choice, answer *upstream.Answer, watch *silenceWatch) (exchanged, error) {
	if !j.genuine(&wholeAnswer{status: answer.Status, header: answer.Header}) {
		return exchanged{fleet: fleet.Failed}, fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, errUnsigned)
	}
	result := exchanged{}
	pending := make([]byte, 0, readSize)
	for {
		count, err := answer.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+count]
		if whole := lastEventEnd(pending); whole > 0 {
			if !watch.heard() {
				result.fleet = j.failure(ctx)
				return result, fault.At(fault.CodeCanceled, "read answer", choice.Runner.ID, fault.Unknown, errSilent)
			}
			if !result.started {
				result.started = true
				j.dispatcher.Fleet.Started(choice)
			}
			j.passEvents(ctx, answer, pending[:whole])
			watch.expect(j.lastEvent(), j.pauseLimit())
			pending = pending[:copy(pending, pending[whole:])]
		}
		if err == io.EOF {
			j.finishStream(ctx, answer, pending)
			result.fleet = fleet.Served
			return result, nil
		}
		if err != nil {
			result.fleet = j.failure(ctx)
			return result, err
		}
		if pending, err = grow(pending); err != nil {
			result.fleet = fleet.Failed
			return result, err
		}
	}
}

// grow makes room for more of an unfinished event.
func grow(pending []byte) ([]byte, error) {
	if len(pending) < cap(pending) {
		return pending, nil
	}
	if len(pending) >= maximumEvent {
		return pending, fault.At(fault.CodeTooLarge, "read event", fault.Self, fault.Unknown, nil)
	}
	larger := make([]byte, len(pending), 2*cap(pending))
	copy(larger, pending)
	return larger, nil
}

// passEvents sends whole events to the client.
func (j *job) passEvents(ctx context.Context, answer *upstream.Answer, events []byte) {
	j.openStream(answer)
	if id, ok := lastIdentifier(events); ok {
		j.relay.lastEvent = id
	}
	j.notePause(time.Now())
	j.relay.passed++
	j.relay.spool.write(ctx, events)
}

// lastEvent is the last event that was passed on and names itself; empty for none.
func (j *job) lastEvent() string {
	if j.relay == nil {
		return ""
	}
	return j.relay.lastEvent
}

// passed is how often events were passed on.
func (j *job) passed() int {
	if j.relay == nil {
		return 0
	}
	return j.relay.passed
}

// notePause follows the longest time between two events.
func (j *job) notePause(now time.Time) {
	if j.relay.passed > 0 {
		j.outcome.Pause = max(j.outcome.Pause, now.Sub(j.relay.passedAt))
	}
	j.relay.passedAt = now
}

// openStream sends the head of a stream's first runner.
func (j *job) openStream(answer *upstream.Answer) {
	if j.relay != nil {
		return
	}
	j.relay = &relay{resumable: j.route.Resumable}
	j.outcome.First = time.Since(j.request.Arrived)
	j.outcome.Status = answer.Status
	j.copyHeader(answer.Header)
	j.writer.Header().Del("Content-Length")
	j.writer.WriteHeader(answer.Status)
	j.relay.spool = newSpool(j.writer, &j.dispatcher.spools)
}

// closeStream waits until the client, whose leaving ends ctx, has read what is kept of a stream.
func (j *job) closeStream(ctx context.Context) {
	if j.relay != nil {
		j.relay.spool.close(ctx)
	}
}

// finishStream ends a stream that its runner ended whole. What is left after its
// last event belongs to the answer as well.
func (j *job) finishStream(ctx context.Context, answer *upstream.Answer, rest []byte) {
	j.openStream(answer)
	if len(rest) > 0 {
		j.relay.spool.write(ctx, rest)
	}
	j.outcome.Result = ResultServed
	j.outcome.Resumes = j.sent - 1
}

// breakOff ends an answer that cannot be completed so that it looks incomplete:
// the connection closes before the answer's end.
func (j *job) breakOff(problem *fault.Error) {
	j.outcome.Result, j.outcome.Step, j.outcome.Reason = ResultBroken, problem.Step, problem.Error()
	j.outcome.Problem = problem
}

// Broken reports whether the answer must be cut off by closing the connection.
func (o *Outcome) Broken() bool { return o.Result == ResultBroken }

var eventEnd = []byte("\n\n")

// lastEventEnd returns the length of the whole events at the start of content.
func lastEventEnd(content []byte) int {
	end := 0
	if at := bytes.LastIndex(content, eventEnd); at >= 0 {
		end = at + len(eventEnd)
	}
	if at := bytes.LastIndex(content, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// lastIdentifier returns the last event identifier in whole events.
func lastIdentifier(events []byte) (string, bool) {
	at := bytes.LastIndex(events, []byte("\nid:"))
	if at >= 0 {
		at++
	} else if bytes.HasPrefix(events, []byte("id:")) {
		at = 0
	} else {
		return "", false
	}
	line := events[at+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return strings.TrimSpace(string(line)), true
}
