package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strings"
	"syscall"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
)

// Completeness says what shows that an answer is complete.
type Completeness string

// The kinds of evidence, the strongest first.
const (
	// CompleteByFraming means that a length or a last chunk marked the end.
	CompleteByFraming Completeness = "framing"
	// CompleteByForm means that the content itself has an end.
	CompleteByForm Completeness = "form"
	// CompleteByPresence means that the answer ended with its connection, and that its runner was still
	// there afterwards. It may have stopped in the middle all the same.
	CompleteByPresence Completeness = "presence"
	// CompletenessUnknown means that nothing more than the end of the connection is known.
	CompletenessUnknown Completeness = "unknown"
)

// proven reports whether the node may give the answer a length. Otherwise its client must see the same
// as the node: an answer that ends with its connection. A stream is sent in chunks all the same, as
// the end of this node must not look like that of the stream, and is ended as complete unless
// CompletenessUnknown.
func (c Completeness) proven() bool { return c == CompleteByFraming || c == CompleteByForm }

// form says what the content of an answer shows about its end.
type form uint8

const (
	formUnknown form = iota
	formWhole
	formCut
)

var (
	errCut = errors.New("the answer ended with its connection before its last part")
	// errMaybeRestarted is why a runner counts as ended that accepts a connection.
	errMaybeRestarted = errors.New("the process was paused, and another incarnation may be there")

	errEnded = errors.New("the answer ended with its connection, and its runner has ended")
)

// completeness finds out whether an answer that was read to its end is complete. An error means that it
// broke off. content is only called if the framing shows nothing.
func (j *job) completeness(ctx context.Context, choice fleet.Choice, answer *upstream.Answer, content func() form) (Completeness, error) {
	if answer.Framing != upstream.FramedByClose {
		return CompleteByFraming, nil
	}
	switch content() {
	case formWhole:
		return CompleteByForm, nil
	case formCut:
		return "", brokenOff(choice, errCut)
	}
	switch presence := j.presence(ctx, choice, answer); {
	case presence == upstream.Ended && j.dispatcher.Fleet.Leaves(choice.Runner):
		// A runner that stops may refuse connections while it completes its last answers.
		return CompletenessUnknown, nil
	case presence == upstream.Ended:
		return "", brokenOff(choice, errEnded)
	case presence == upstream.Present:
		return CompleteByPresence, nil
	case errors.Is(context.Cause(ctx), errSilent):
		// Another runner answered and takes over, which cut the check off.
		return "", fault.At(fault.CodeCanceled, "check runner", choice.Runner.ID, fault.Unknown, errSilent)
	default:
		return CompletenessUnknown, nil
	}
}

// presence finds out whether the incarnation that sent an answer is still there.
func (j *job) presence(ctx context.Context, choice fleet.Choice, answer *upstream.Answer) upstream.Presence {
	presence, err := j.presenceByReport(ctx, choice)
	if presence == upstream.PresenceUnknown {
		unreported, unreportedErr := j.presenceUnreported(ctx, choice, answer)
		presence, err = unreported, errors.Join(err, unreportedErr)
	}
	if j.dispatcher.Fleet.Replaced(choice.Runner) {
		presence = upstream.Ended
	}
	if err != nil {
		j.log.Info("runner checked after an answer without framing", "runner", choice.Runner.ID, "presence", string(presence), "error", err.Error())
	}
	return presence
}

// presenceUnreported is presence without a report: by a health check, else by a connection. The kernel
// accepts connections until a process that ends has closed its listener.
func (j *job) presenceUnreported(ctx context.Context, choice fleet.Choice, answer *upstream.Answer) (upstream.Presence, error) {
	presence, err := j.presenceByHealth(ctx, choice, answer)
	if presence == upstream.PresenceUnknown {
		connected, connectErr := answer.Presence(ctx)
		presence, err = connected, errors.Join(err, connectErr)
	}
	if presence == upstream.Present && j.dispatcher.PausedSince != nil && j.dispatcher.PausedSince(answer.SentAt()) {
		// There was time for another incarnation to start, which answers as well.
		return upstream.Ended, errMaybeRestarted
	}
	return presence, err
}

// presenceByReport asks the runner for its report, which only the same incarnation answers. It is unknown
// where runners give none.
func (j *job) presenceByReport(ctx context.Context, choice fleet.Choice) (upstream.Presence, error) {
	if !j.engine || j.dispatcher.Report == nil {
		return upstream.PresenceUnknown, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := j.dispatcher.Report(ctx, choice.Runner)
	return presenceByCall(err), err
}

// presenceByHealth asks the runner for its health. It is unknown where runners have no health checks, of a runner
// that states limits, to which the check would add, and of one that was reached through a peer: a call would
// also try the direct path, which may hang, and keep from the check by a connection what the peer finds.
func (j *job) presenceByHealth(ctx context.Context, choice fleet.Choice, answer *upstream.Answer) (upstream.Presence, error) {
	if j.engine || answer.Via != "" || !strings.HasPrefix(j.healthPath, "/") || j.dispatcher.Alive == nil || j.dispatcher.Fleet.StatesLimits(choice.Runner) {
		return upstream.PresenceUnknown, nil
	}
	// A cancellation says nothing of the connection: the check may wait for a slot of the runner.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(healthTimeout, cancel)
	defer timer.Stop()
	err := j.dispatcher.Alive(ctx, choice.Runner, j.healthPath)
	return presenceByCall(err), err
}

// presenceByCall returns what the error of a call shows that only the same incarnation answers.
func presenceByCall(err error) upstream.Presence {
	switch {
	case err == nil:
		return upstream.Present
	case fault.IsCode(err, fault.CodeNotFound), errors.Is(err, syscall.ECONNREFUSED):
		return upstream.Ended
	default:
		return upstream.PresenceUnknown
	}
}

const (
	// reportTimeout bounds the call for a report.
	reportTimeout = 400 * time.Millisecond
	// healthTimeout bounds a health check. A full runner may let it wait, and callers wait with it.
	healthTimeout = 150 * time.Millisecond
)

// brokenOff returns the error of an answer that broke off.
func brokenOff(choice fleet.Choice, cause error) error {
	return fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, cause)
}

// bodyForm returns what the body of an answer shows about its end. A JSON text is whole if it can be
// parsed, unless it is a plain number. A success that ended with its head brought nothing.
func (j *job) bodyForm(buffered *bufferedAnswer) form {
	if len(buffered.body) == 0 && isSuccess(buffered.status) {
		return formCut
	}
	kind, _, _ := mime.ParseMediaType(buffered.header.Get("Content-Type"))
	if kind != "application/json" && !j.request.OwnErrors {
		return formUnknown
	}
	switch body := bytes.TrimSpace(buffered.body); {
	case !json.Valid(body):
		return formCut
	case body[0] == '{' || body[0] == '[' || body[0] == '"':
		return formWhole
	default:
		return formUnknown
	}
}

// isSuccess reports whether clients take a status for a success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// streamForm returns what a runner's part of a stream shows about the stream's end: whether it brought anything,
// and its last event.
func (j *job) streamForm(brought bool) form {
	if !brought {
		return formCut
	}
	if j.request.EndsStream == nil {
		return formUnknown
	}
	if j.stream != nil && j.request.EndsStream(j.stream.lastEvent) {
		return formWhole
	}
	return formCut
}

// endWithConnection makes an answer end with the client's connection. It must be called before the head
// is sent.
func (j *job) endWithConnection() {
	j.outcome.EndsWithConnection = true
	j.writer.Header().Set("Transfer-Encoding", "identity")
}

// errNoProof is the error of a stream that nothing but the end of its connection shows to be complete.
var errNoProof = errors.New("the stream ended with its connection, and its runner was not found afterwards")

// hasEvents reports whether an answer consists of events. One without a type does.
func hasEvents(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err != nil || kind == "text/event-stream"
}
