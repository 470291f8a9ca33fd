// Package statement tracks what runners state about themselves in the headers of their answers:
// that they are leaving, that they want no requests for a while, how many they take per second, or
// that they end if they have to reject many. The headers of all answers from runners pass through a Registry, which reads, bounds
// and stores the statements by the incarnation that made them.
package statement

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Statement is what a runner states about itself: Leaving, Rest, Limit or Brittle.
type Statement interface{ statement() }

// Leaving means that the runner will end soon: it finishes the requests it has and must get no
// new ones.
type Leaving struct{}

// Rest means that the runner wants no requests from this node for a while.
type Rest struct{ For time.Duration }

// Limit is how many requests per second the runner takes from all nodes together, as long as its
// answers say so. Rate is above zero.
type Limit struct{ Rate float64 }

// Brittle means that the runner ends if it has to reject more than Rejections requests within a
// second for lack of room, from all nodes together, as long as its answers say so.
type Brittle struct{ Rejections float64 }

func (Leaving) statement() {}
func (Rest) statement()    {}
func (Limit) statement()   {}
func (Brittle) statement() {}

// Limits bound the effect of statements.
type Limits struct {
	// LongestRest caps rests, so that a wrong number does not take a runner out of use for long.
	LongestRest time.Duration
	// UnreadableRest is the rest of a runner whose header has no readable time.
	UnreadableRest time.Duration
	// LeavingFor is how long a runner gets no requests after it last said that it leaves, if it
	// stays after all.
	LeavingFor time.Duration
	// LeastRate, in requests per second, replaces smaller limits and zero, so that some request
	// gets through and finds out when the limit has ended.
	LeastRate float64
	// LimitFor is how long a limit, or the statement that a runner is brittle, lasts that no answer
	// repeats or lifts.
	LimitFor time.Duration
}

const (
	// headerRest gives the time, in seconds, after which a runner that rejected a request takes
	// another one.
	headerRest = "Retry-After"
	// valueLeaving is the header value that the platform defines for a runner that leaves. A
	// runner that stays omits the header; valueStaying means the same.
	valueLeaving = "1"
	valueStaying = "0"
)

// Headers are the names of the headers in which runners make statements.
type Headers struct {
	// Leaving is the header that says that the runner leaves.
	Leaving string
	// Limit is the header with the number of requests per second that the runner takes.
	Limit string
	// Brittle is the header with the number of requests that the runner may reject in a second.
	Brittle string
}

// read returns the statements in an answer's header, and the problems with those that were not
// accepted as given.
func read(names Headers, limits Limits, status int, header http.Header) (statements []Statement, problems []string) {
	for _, value := range header.Values(names.Limit) {
		rate, problem := rateOf(value, limits)
		if problem != "" {
			problems = append(problems, problem)
		}
		if rate > 0 {
			statements = append(statements, Limit{Rate: rate})
		}
	}
	for _, value := range header.Values(names.Brittle) {
		rejections, problem := rejectionsOf(value)
		if problem != "" {
			problems = append(problems, problem)
		}
		statements = append(statements, Brittle{Rejections: rejections})
	}
	for _, value := range header.Values(names.Leaving) {
		switch strings.TrimSpace(value) {
		case valueLeaving:
			statements = append(statements, Leaving{})
		case valueStaying, "":
		default:
			problems = append(problems, fmt.Sprintf("leaving: %q is not known", value))
		}
	}
	if !mayRequestRest(status) {
		return statements, problems
	}
	for _, value := range header.Values(headerRest) {
		duration, problem := restOf(value, limits)
		if problem != "" {
			problems = append(problems, problem)
		}
		if duration > 0 {
			statements = append(statements, Rest{For: duration})
		}
	}
	return statements, problems
}

// rateOf parses a limit; zero if it is unusable. problem says why the result differs from the
// stated value.
func rateOf(value string, limits Limits) (rate float64, problem string) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	switch {
	case err != nil, math.IsNaN(rate), math.IsInf(rate, 0), rate < 0:
		return 0, fmt.Sprintf("limit: %q is no number of requests a second, it is passed over", value)
	case rate < limits.LeastRate:
		return limits.LeastRate, fmt.Sprintf("limit: %q requests a second are raised to %g", value, limits.LeastRate)
	default:
		return rate, ""
	}
}

// rejectionsOf parses how many rejections a brittle runner endures: none if that is unreadable, as
// the runner is brittle all the same. problem says why the result differs from the stated value.
func rejectionsOf(value string) (rejections float64, problem string) {
	rejections, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(rejections) || math.IsInf(rejections, 0) || rejections < 0 {
		return 0, fmt.Sprintf("brittle: %q is no number of requests, 0 is taken", value)
	}
	return rejections, ""
}

// mayRequestRest reports whether an answer with the status may ask for a rest.
func mayRequestRest(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// restOf parses the duration of a rest. problem says why the result differs from the stated
// value.
func restOf(value string, limits Limits) (duration time.Duration, problem string) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	switch {
	case err != nil, math.IsNaN(seconds), seconds < 0:
		return limits.UnreadableRest, fmt.Sprintf("rest: %q is no number of seconds, %s is taken", value, limits.UnreadableRest)
	case seconds > limits.LongestRest.Seconds():
		return limits.LongestRest, fmt.Sprintf("rest: %q seconds are cut to %s", value, limits.LongestRest)
	default:
		return time.Duration(seconds * float64(time.Second)), ""
	}
}
