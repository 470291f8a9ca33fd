package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/upstream"
)

// maxBufferedAnswer bounds, in bytes, an answer that is read completely before it is forwarded.
const maxBufferedAnswer = 32 << 20

// bufferedAnswer is a runner's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// framing is that of the runner.
	framing upstream.Framing
	// buffer holds body; nil if nothing was read.
	buffer *answerBuffer
}

// release gives back the memory of the body, which is not used after that.
func (b *bufferedAnswer) release() {
	if b != nil && b.buffer != nil {
		b.buffer.release()
	}
}

// framed reports whether the runner marked the end of the answer.
func (b *bufferedAnswer) framed() bool { return b.framing != upstream.FramedByClose }

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripConnectionHeaders removes the headers that apply to a single connection, including those
// that the Connection header names.
func StripConnectionHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

// errUnsigned is the error of an answer that does not carry the runner's signature though it must.
var errUnsigned = errors.New("answer without the runner's signature")

// readBuffered reads a complete answer. The caller releases it.
func (j *job) readBuffered(choice fleet.Choice, answer *upstream.Answer) (*bufferedAnswer, error) {
	buffer := j.dispatcher.newBuffer(readSize)
	var err error
	for err == nil {
		err = buffer.read(answer, maxBufferedAnswer)
	}
	if err != io.EOF {
		buffer.release()
		return nil, unreadable(choice, err)
	}
	return &bufferedAnswer{status: answer.Status, header: answer.Header, body: buffer.content, framing: answer.Framing, buffer: buffer}, nil
}

// unreadable returns the error of an answer of which no more is read. It may have run.
func unreadable(choice fleet.Choice, err error) error {
	if errors.Is(err, errTooLarge) || errors.Is(err, errNoMemory) {
		return fault.At(fault.CodeTooLarge, "read answer", choice.Runner.ID, fault.Unknown, err)
	}
	return err
}

// forwardBuffered reads a complete answer and forwards it. A failure of an idempotent request is
// held back while another runner is tried.
func (j *job) forwardBuffered(ctx context.Context, choice fleet.Choice, answer *upstream.Answer) (attemptResult, error) {
	buffered, err := j.readBuffered(choice, answer)
	if err != nil {
		return attemptResult{fleet: j.failureResult(ctx)}, err
	}
	defer func() {
		if j.heldFailure != buffered {
			buffered.release()
		}
	}()
	if !j.authentic(buffered) {
		return attemptResult{fleet: fleet.Failed}, fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, errUnsigned)
	}
	if buffered.status >= http.StatusInternalServerError {
		return j.runnerFailed(choice, buffered)
	}
	if j.outcome.Completeness, err = j.completeness(ctx, choice, answer, func() form { return j.bodyForm(buffered) }); err != nil {
		return attemptResult{fleet: fleet.Failed}, err
	}
	j.writeBuffered(buffered, ResultServed, j.outcome.Completeness.proven())
	return attemptResult{fleet: fleet.Served}, nil
}

// runnerFailed handles an error answer of the runner itself: the request has run. The answer goes
// to the client, at once or after other runners were tried, unless the node answers with errors of
// its own or clients would take the status as a promise that the request did not run.
func (j *job) runnerFailed(choice fleet.Choice, buffered *bufferedAnswer) (attemptResult, error) {
	result := attemptResult{fleet: fleet.Failed}
	problem := fault.At(fault.CodeInterrupted, "send request", choice.Runner.ID, fault.Done, statusError(buffered.status))
	if j.request.OwnErrors || promisesNotRun(buffered.status) {
		return result, problem
	}
	if j.route.Idempotent() && j.ran+1 < j.route.Attempts {
		j.holdFailure(buffered)
		return result, problem
	}
	j.writeBuffered(buffered, ResultPassed, buffered.framed())
	return result, nil
}

// holdFailure holds a runner's failure back in place of an earlier one.
func (j *job) holdFailure(failure *bufferedAnswer) {
	j.heldFailure.release()
	j.heldFailure = failure
}

// promisesNotRun reports whether clients take a status as a promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// authentic reports whether an answer may be forwarded as the runner's. A 3xx or 4xx must be signed like a
// success: clients give up a request after one.
func (j *job) authentic(buffered *bufferedAnswer) bool {
	if buffered.header.Get("Content-Encoding") != "" {
		return false
	}
	return buffered.status >= http.StatusInternalServerError || buffered.header.Get(j.dispatcher.Headers.Signature) != ""
}

// copyHeader copies a runner's headers to the client's answer, except those of a single connection.
func (j *job) copyHeader(header http.Header) {
	StripConnectionHeaders(header)
	target := j.writer.Header()
	for name, values := range header {
		target[name] = append(target[name], values...)
	}
	suppress(target, "Content-Type")
	suppress(target, "Date")
}

// suppress keeps the HTTP library from adding the header by itself.
func suppress(header http.Header, name string) {
	if len(header[name]) == 0 {
		header[name] = nil
	}
}

// writeBuffered sends a runner's answer to the client. It gets a length only if it is proven to be
// complete.
func (j *job) writeBuffered(buffered *bufferedAnswer, result string, proven bool) {
	j.copyHeader(buffered.header)
	switch {
	case !proven:
		j.endWithConnection()
	case j.request.Method != http.MethodHead:
		// The length in an answer to HEAD is that of a body which does not follow.
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	j.outcome.First = time.Since(j.request.Arrived)
	j.outcome.Result, j.outcome.Status = result, buffered.status
	j.writer.WriteHeader(buffered.status)
	_, _ = j.writer.Write(buffered.body)
}

// refuse answers a request that did not run and will not, with a retry time.
func (j *job) refuse(problem *fault.Error) {
	if j.request.Refused != nil {
		problem = problem.WithRetryAfter(max(j.request.Refused(), problem.RetryAfter))
	}
	problem.Ran = fault.NotDone
	status := fault.Status(problem.Code)
	if !promisesNotRun(status) && !permanent(status) {
		status = http.StatusServiceUnavailable
	}
	if promisesNotRun(status) && problem.RetryAfter == 0 {
		problem = problem.WithRetryAfter(defaultRetryAfter)
	}
	j.writeProblem(status, problem, ResultRefused)
}

// permanent reports whether repeating a request that was refused with the status is pointless.
func permanent(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// fail answers a request that may have run.
func (j *job) fail(timedOut bool, problem *fault.Error) {
	if j.stream != nil {
		j.abortStream(problem)
		return
	}
	status := http.StatusBadGateway
	if timedOut {
		status = http.StatusGatewayTimeout
		copied := *problem
		copied.Code = fault.CodeDeadline
		problem = &copied
	}
	problem.RetryAfter = 0
	j.writeProblem(status, problem, ResultFailed)
}

// writeProblem answers the request with an error of this node.
func (j *job) writeProblem(status int, problem *fault.Error, result string) {
	j.outcome.Result, j.outcome.Status = result, status
	j.outcome.Step, j.outcome.Reason = problem.Step, problem.Error()
	j.outcome.Problem = problem
	body, err := json.Marshal(fault.ToBody(j.dispatcher.withNodeName(problem)))
	if err != nil {
		body = nil
	}
	header := j.writer.Header()
	if j.dispatcher.Stop.Stopping() {
		// The client is to turn to another node.
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 2, 64))
	}
	j.writer.WriteHeader(status)
	_, _ = j.writer.Write(body)
}
