package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/origin"
	"lilacvane/internal/upstream"
)

const (
	// readSize is the initial size of a stream's read buffer, in bytes.
	readSize = 4 << 10
	// maxEventSize bounds one event of a stream, in bytes.
	maxEventSize = 1 << 20
)

// clientStream is a stream whose head was sent to the client.
type clientStream struct {
	resumable bool
	// spool forwards the events to the client.
	spool *spool
	// lastEventID identifies the last complete event that was forwarded, lastEvent is that event; it is
	// kept only if its form shows the end of the stream.
	lastEventID string
	lastEvent   []byte
	// forwarded counts how many times events were forwarded.
	forwarded int
	// forwardedAt is when events were last forwarded.
	forwardedAt time.Time
}

// forwardStream forwards a stream as it arrives, in complete events only. The head is sent with the
// first event, so that until then another runner may be tried.
func (j *job) forwardStream(ctx context.Context, choice fleet.Choice, answer *upstream.Answer, watch *silenceWatch) (attemptResult, error) {
	if !j.authentic(&bufferedAnswer{status: answer.Status, header: answer.Header}) {
		return attemptResult{fleet: fleet.Failed}, fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, errUnsigned)
	}
	result := attemptResult{}
	pending := j.dispatcher.newBuffer(readSize)
	defer pending.release()
	for {
		err := pending.read(answer, maxEventSize)
		if complete := lastEventEnd(pending.content); complete > 0 {
			if !watch.recordActivity() {
				result.fleet = j.failureResult(ctx)
				return result, fault.At(fault.CodeCanceled, "read answer", choice.Runner.ID, fault.Unknown, errSilent)
			}
			if !result.started {
				result.started = true
				j.dispatcher.Fleet.Started(choice)
			}
			j.recordOrigin(choice.Runner.Build, watch)
			j.forwardEvents(ctx, answer, pending.content[:complete])
			watch.restart(j.lastEventID(), j.pauseLimit())
			pending.drop(complete)
		}
		if err == io.EOF {
			if err := j.finishStream(ctx, choice, answer, pending.content, result.started); err != nil {
				result.fleet = fleet.Failed
				return result, err
			}
			result.fleet = fleet.Served
			return result, nil
		}
		if err != nil {
			result.fleet = j.failureResult(ctx)
			return result, unreadable(choice, err)
		}
	}
}

// errUnfinishedEvent is the error of a stream that ended inside an event.
var errUnfinishedEvent = errors.New("the stream ended inside an event")

// checkLastEvent returns the error of a stream that broke off inside an event, however its end was
// marked. remainder is what follows the last complete event.
func (j *job) checkLastEvent(choice fleet.Choice, answer *upstream.Answer, remainder []byte) error {
	if !hasEvents(answer.Header) || len(bytes.TrimSpace(remainder)) == 0 {
		return nil
	}
	j.outcome.UnfinishedBytes = len(remainder)
	return brokenOff(choice, errUnfinishedEvent)
}

// forwardEvents sends complete events to the client.
func (j *job) forwardEvents(ctx context.Context, answer *upstream.Answer, events []byte) {
	j.openStream(answer)
	if id, ok := parseLastEventID(events); ok {
		j.stream.lastEventID = id
	}
	if event := lastEvent(events); j.request.EndsStream != nil && len(event) > 0 {
		j.stream.lastEvent = append(j.stream.lastEvent[:0], event...)
	}
	j.recordPause(time.Now())
	j.stream.forwarded++
	j.stream.spool.write(ctx, events)
}

// lastEventID returns the identifier of the last forwarded event that has one; empty for none.
func (j *job) lastEventID() string {
	if j.stream == nil {
		return ""
	}
	return j.stream.lastEventID
}

// forwarded returns how many times events were forwarded.
func (j *job) forwarded() int {
	if j.stream == nil {
		return 0
	}
	return j.stream.forwarded
}

// recordPause keeps the longest time between two events.
func (j *job) recordPause(now time.Time) {
	if j.stream.forwarded > 0 {
		j.outcome.Pause = max(j.outcome.Pause, now.Sub(j.stream.forwardedAt))
	}
	j.stream.forwardedAt = now
}

// openStream sends the head of the answer of a stream's first runner.
func (j *job) openStream(answer *upstream.Answer) {
	if j.stream != nil {
		return
	}
	j.stream = &clientStream{resumable: j.route.Resumable}
	j.outcome.First = time.Since(j.request.Arrived)
	j.outcome.Status = answer.Status
	j.copyHeader(answer.Header)
	j.writer.Header().Del("Content-Length")
	j.writer.WriteHeader(answer.Status)
	j.stream.spool = newSpool(j.writer, &j.dispatcher.spooled)
}

// closeStream waits until the client has read what is spooled of a stream; it ends early when ctx
// does, as the client left or its connection was closed. What the client did not get was not served.
func (j *job) closeStream(ctx context.Context) {
	if j.stream == nil || j.stream.spool.close(ctx) || j.outcome.Result != ResultServed {
		return
	}
	j.outcome.Result, j.outcome.Step, j.outcome.Reason = ResultCanceled, "write answer", "the client did not read the whole answer"
}

// finishStream ends a stream that its runner completed. What follows its last event belongs to the
// answer as well: blank lines, or all of an answer that does not consist of events. started is set if the runner
// sent events. An error means that the stream broke off.
func (j *job) finishStream(ctx context.Context, choice fleet.Choice, answer *upstream.Answer, remainder []byte, started bool) error {
	if err := j.checkLastEvent(choice, answer, remainder); err != nil {
		return err
	}
	completeness, err := j.completeness(ctx, choice, answer, func() form {
		return j.streamForm(started || len(bytes.TrimSpace(remainder)) > 0)
	})
	if err != nil {
		return err
	}
	if completeness == CompletenessUnknown {
		return brokenOff(choice, errNoProof)
	}
	j.openStream(answer)
	j.outcome.Completeness = completeness
	if len(remainder) > 0 {
		j.stream.spool.write(ctx, remainder)
	}
	j.outcome.Result = ResultServed
	j.outcome.Resumes = j.sent - 1
	if j.dispatcher.Origins != nil && j.begins() {
		j.dispatcher.Origins.Ended(origin.NewStream(j.callerID(), j.request.ID))
	}
	return nil
}

// abortStream ends an answer that cannot be completed so that it looks incomplete: the connection
// closes before the answer's end.
func (j *job) abortStream(problem *fault.Error) {
	j.outcome.Result, j.outcome.Step, j.outcome.Reason = ResultBroken, problem.Step, problem.Error()
	j.outcome.Problem = problem
}

// Broken reports whether the answer must be cut off by closing the connection.
func (o *Outcome) Broken() bool { return o.Result == ResultBroken }

var eventEnd = []byte("\n\n")

// lastEventEnd returns the length of the complete events at the start of content.
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

// lastEvent returns the last of some complete events that has data; empty if there is none.
func lastEvent(events []byte) []byte {
	for len(events) > 0 {
		start := lastEventEnd(bytes.TrimRight(events, "\r\n"))
		if event := events[start:]; bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:")) {
			return event
		}
		events = events[:start]
	}
	return nil
}

// parseLastEventID returns the last event identifier in complete events.
func parseLastEventID(events []byte) (string, bool) {
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
