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

// maximumWhole bounds an answer that is read before it is passed on.
const maximumWhole = 32 << 20

// wholeAnswer is a runner's complete answer.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripConnectionHeaders removes the headers that concern one connection only,
// also those that the Connection header names.
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

// errUnsigned is the error of a success that is not the runner's.
var errUnsigned = errors.New("success without the runner's signature")

// readWhole reads an answer to its end.
func readWhole(choice fleet.Choice, answer *upstream.Answer) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maximumWhole+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maximumWhole {
		return nil, fault.At(fault.CodeTooLarge, "read answer", choice.Runner.ID, fault.Unknown, nil)
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// passWhole reads an answer to its end and passes it on. A failure of a request
// that may be repeated is kept back while another runner is tried.
func (j *job) passWhole(ctx context.Context, choice fleet.Choice, answer *upstream.Answer) (exchanged, error) {
	whole, err := readWhole(choice, answer)
	if err != nil {
		return exchanged{fleet: j.failure(ctx)}, err
	}
	if !j.genuine(whole) {
		return exchanged{fleet: fleet.Failed}, fault.At(fault.CodeInterrupted, "read answer", choice.Runner.ID, fault.Unknown, errUnsigned)
	}
	if whole.status >= http.StatusInternalServerError {
		return j.runnerFailed(choice, whole)
	}
	j.writeWhole(whole, ResultServed)
	return exchanged{fleet: fleet.Served}, nil
}

// runnerFailed handles a runner's own failure: it has run. Its answer goes to the
// client, at once or after other runners were tried, unless the node states
// errors in its own form or the status would be a false promise.
func (j *job) runnerFailed(choice fleet.Choice, whole *wholeAnswer) (exchanged, error) {
	result := exchanged{fleet: fleet.Failed}
	problem := fault.At(fault.CodeInterrupted, "send request", choice.Runner.ID, fault.Done, answered(whole.status))
	if j.request.OwnErrors || promisesNotRun(whole.status) {
		return result, problem
	}
	if j.route.Idempotent() && j.ran+1 < j.route.Attempts {
		j.last = whole
		return result, problem
	}
	j.writeWhole(whole, ResultPassed)
	return result, nil
}

// promisesNotRun reports whether clients take a status as a promise that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// genuine reports whether an answer may be passed on as the runner's.
func (j *job) genuine(whole *wholeAnswer) bool {
	if whole.header.Get("Content-Encoding") != "" {
		return false
	}
	return whole.status >= http.StatusMultipleChoices || whole.header.Get(j.dispatcher.Names.Signature) != ""
}

func (j *job) copyHeader(header http.Header) {
	StripConnectionHeaders(header)
	target := j.writer.Header()
	for name, values := range header {
		target[name] = append(target[name], values...)
	}
	suppress(target, "Content-Type")
	suppress(target, "Date")
}

// suppress keeps the HTTP library from adding a header of its own.
func suppress(header http.Header, name string) {
	if len(header[name]) == 0 {
		header[name] = nil
	}
}

func (j *job) writeWhole(whole *wholeAnswer, result string) {
	j.copyHeader(whole.header)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	j.outcome.First = time.Since(j.request.Arrived)
	j.outcome.Result, j.outcome.Status = result, whole.status
	j.writer.WriteHeader(whole.status)
	_, _ = j.writer.Write(whole.body)
}

// refuse answers a request that did not run and will not, with the time to come
// back.
func (j *job) refuse(problem *fault.Error) {
	problem.Ran = fault.NotDone
	status := fault.Status(problem.Code)
	if !promisesNotRun(status) && !final(status) {
		status = http.StatusServiceUnavailable
	}
	if promisesNotRun(status) && problem.RetryAfter == 0 {
		problem = problem.WithRetryAfter(defaultReturn)
	}
	j.writeProblem(status, problem, ResultRefused)
}

// final reports whether a refusal with the status is of no use to repeat.
func final(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// fail answers a request that may have run.
func (j *job) fail(timedOut bool, problem *fault.Error) {
	if j.relay != nil {
		j.breakOff(problem)
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

func (j *job) writeProblem(status int, problem *fault.Error, result string) {
	j.outcome.Result, j.outcome.Status = result, status
	j.outcome.Step, j.outcome.Reason = problem.Step, problem.Error()
	j.outcome.Problem = problem
	body, err := json.Marshal(fault.ToBody(j.dispatcher.named(problem)))
	if err != nil {
		body = nil
	}
	header := j.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(problem.RetryAfter.Seconds(), 'f', 2, 64))
	}
	j.writer.WriteHeader(status)
	_, _ = j.writer.Write(body)
}
