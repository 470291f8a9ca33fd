// Package fault defines the error type of lilacvane. Every error names the step and
// the peer at which it occurred, whether the work was carried out, and when a caller
// may retry.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about an operation on another process.
type Outcome uint8

// The possible outcomes of a remote operation. Unknown is the zero value, so that an outcome that
// was not set is never mistaken for a definite one.
const (
	// Unknown means that the operation may or may not have been carried out, or may still be.
	Unknown Outcome = iota
	// Done means that it was carried out.
	Done
	// NotDone means that it was not and will not be carried out.
	NotDone
)

// String returns the outcome as shown to callers: yes, no or unknown.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "yes"
	case NotDone:
		return "no"
	default:
		return "unknown"
	}
}

// Code is a stable, machine-readable error code. Codes are part of the public interface and never
// change their meaning.
type Code string

// The codes that lilacvane responds with. docs/INTERFACE.md describes each one.
const (
	CodeInvalid            Code = "invalid_request"
	CodeTooLarge           Code = "body_too_large"
	CodeUnknownModel       Code = "unknown_model"
	CodeNotFound           Code = "not_found"
	CodeConflict           Code = "generation_conflict"
	CodeDeadline           Code = "deadline_cannot_be_met"
	CodeNoReplica          Code = "no_replica"
	CodeNotLoaded          Code = "not_loaded"
	CodeZonesOut           Code = "zones_out"
	CodeDraining           Code = "draining"
	CodeOverloaded         Code = "overloaded"
	CodeDuplicate          Code = "duplicate_request"
	CodeClaimsUnavailable  Code = "claims_unavailable"
	CodeInterrupted        Code = "interrupted"
	CodeUnreachable        Code = "runner_unreachable"
	CodeStoreUnavailable   Code = "store_unavailable"
	CodeRateLimited        Code = "rate_limited"
	CodeNotReady           Code = "not_ready"
	CodeUnsupportedVersion Code = "unsupported_version"
	CodeCanceled           Code = "canceled"
	CodeCompacted          Code = "history_gone"
	CodeStale              Code = "stale_read"
	CodeNotHolder          Code = "not_lease_holder"
	CodeUnauthorized       Code = "unauthorized"
	CodeOverLimit          Code = "over_limit"
	CodeOutsideHomes       Code = "outside_homes"
	CodeNoPathInHomes      Code = "no_path_in_homes"
	CodeCrashSuspected     Code = "crash_suspected"
	CodeCrashesRunners     Code = "crashes_runners"
	CodeBuildUnknown       Code = "build_unknown"
	CodeBuildGone          Code = "build_gone"
	CodeInternal           Code = "internal"
)

// Error is the error type of lilacvane. Step is the operation that failed, Peer the address or name
// of the process at which it failed (Self for this process), Ran whether the work was carried out,
// and RetryAfter when to retry (zero: not stated).
type Error struct {
	Code       Code
	Step       string
	Peer       string
	Ran        Outcome
	RetryAfter time.Duration
	Message    string
	Cause      error
}

// Self is the peer name of errors that occurred inside this process.
const Self = "self"

// Error formats the step, peer, code and message on one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s: %s", e.Step, e.Peer, e.Code)
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error that occurred in this process before any work was carried out.
func New(code Code, step, format string, arguments ...any) *Error {
	return &Error{Code: code, Step: step, Peer: Self, Ran: NotDone, Message: fmt.Sprintf(format, arguments...)}
}

// At returns an error that occurred at a peer, with the given outcome.
func At(code Code, step, peer string, ran Outcome, cause error) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Ran: ran, Cause: cause}
}

// WithRetryAfter returns a copy of the error that tells the caller when to retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *e
	copied.RetryAfter = wait
	return &copied
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(ran Outcome) *Error {
	copied := *e
	copied.Ran = ran
	return &copied
}

// From returns err as an *Error. An error of another type becomes an internal error of the given
// step with an unknown outcome.
func From(err error, step string) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Code: CodeInternal, Step: step, Peer: Self, Ran: Unknown, Cause: err}
}

// OutcomeOf returns the outcome that an error states: Done for nil, Unknown for an error of another
// type.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Done
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Ran
	}
	return Unknown
}

// IsCode reports whether err has the code.
func IsCode(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}
