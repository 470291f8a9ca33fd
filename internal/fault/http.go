package fault

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// Body is the JSON form of an error in all HTTP interfaces.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body. RetryAfterSeconds is zero if not stated.
type BodyError struct {
	Code              Code    `json:"code"`
	Message           string  `json:"message"`
	Ran               string  `json:"ran"`
	Step              string  `json:"step"`
	Peer              string  `json:"peer"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// ToBody converts an error to its JSON form.
func ToBody(e *Error) Body {
	message := e.Message
	if message == "" && e.Cause != nil {
		message = e.Cause.Error()
	}
	return Body{Error: BodyError{
		Code: e.Code, Message: message, Ran: e.Ran.String(), Step: e.Step, Peer: e.Peer,
		RetryAfterSeconds: e.RetryAfter.Seconds(),
	}}
}

// statusByCode maps codes to HTTP statuses; see Status for the others.
var statusByCode = map[Code]int{
	CodeInvalid: http.StatusBadRequest, CodeTooLarge: http.StatusRequestEntityTooLarge,
	CodeUnknownModel: http.StatusNotFound, CodeNotFound: http.StatusNotFound,
	CodeConflict: http.StatusConflict, CodeDuplicate: http.StatusConflict,
	CodeNotLoaded: http.StatusConflict, CodeRateLimited: http.StatusTooManyRequests,
	CodeUnauthorized: http.StatusUnauthorized, CodeOverLimit: http.StatusTooManyRequests,
	CodeUnsupportedVersion: http.StatusBadRequest, CodeCrashesRunners: http.StatusBadRequest,
	CodeBuildUnknown: http.StatusMisdirectedRequest, CodeBuildGone: http.StatusMisdirectedRequest,
	CodeInterrupted: http.StatusBadGateway, CodeInternal: http.StatusInternalServerError,
}

// Status returns the HTTP status of a code. Codes without a status of their own get 503, so that
// callers retry.
func Status(code Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// momentary is the retry time up to which callers come back at once.
const momentary = 50 * time.Millisecond

// WholeSeconds formats a retry time in whole seconds, as the HTTP standard requires. It is rounded up, but for a
// moment.
func WholeSeconds(retryAfter time.Duration) string {
	if retryAfter <= momentary {
		return "0"
	}
	return strconv.Itoa(int(math.Ceil(retryAfter.Seconds())))
}

// Write responds to an HTTP request with the error, including Retry-After.
func Write(w http.ResponseWriter, e *Error) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", WholeSeconds(e.RetryAfter))
	}
	w.WriteHeader(Status(e.Code))
	_ = json.NewEncoder(w).Encode(ToBody(e))
}

// maximumErrorBody is the maximum number of bytes of an error body that are read.
const maximumErrorBody = 64 << 10

// Read decodes the error body of an HTTP response from peer. Any other body becomes an internal
// error with an unknown outcome.
func Read(response *http.Response, step, peer string) *Error {
	var body Body
	content, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBody))
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Code == "" {
		return &Error{Code: CodeInternal, Step: step, Peer: peer, Ran: Unknown, Message: "status " + response.Status}
	}
	return FromBody(body, step, peer)
}

// FromBody returns the error that a peer stated in JSON.
func FromBody(body Body, step, peer string) *Error {
	return &Error{
		Code: body.Error.Code, Step: step, Peer: peer, Ran: ParseOutcome(body.Error.Ran),
		Message: body.Error.Message, RetryAfter: time.Duration(body.Error.RetryAfterSeconds * float64(time.Second)),
	}
}

// ParseOutcome parses the result of Outcome.String.
func ParseOutcome(text string) Outcome {
	switch text {
	case "yes":
		return Done
	case "no":
		return NotDone
	default:
		return Unknown
	}
}

// FromTransport returns the error of an HTTP exchange that failed without a response, with
// CodeStoreUnavailable. The outcome is NotDone if no connection was established, and Unknown
// otherwise, because the request may have had an effect.
func FromTransport(err error, step, peer string) *Error {
	ran := Unknown
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		ran = NotDone
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		ran = NotDone
	}
	return &Error{Code: CodeStoreUnavailable, Step: step, Peer: peer, Ran: ran, Cause: err}
}
