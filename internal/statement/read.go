// Package statement keeps what runners state of themselves in the heads of their answers:
// that they leave, want no requests for a while, or only so many a second. All exchanges with runners pass the heads
// of their answers through a Book, which reads, bounds and remembers the statements by the
// incarnation that made them.
package statement

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Statement is what a runner states of itself: Leaving, Rest or Limit.
type Statement interface{ statement() }

// Leaving means that the runner ends soon: it serves what it has, and nothing new is to go there.
type Leaving struct{}

// Rest means that the runner wants nothing from this node for a while.
type Rest struct{ For time.Duration }

// Limit is how many requests a second the runner takes from all nodes together, for as long as it
// says so; above zero.
type Limit struct{ Rate float64 }

func (Leaving) statement() {}
func (Rest) statement()    {}
func (Limit) statement()   {}

// Limits bound what is believed.
type Limits struct {
	// LongestRest cuts a longer rest, so that no runner is out for long by a wrong number.
	LongestRest time.Duration
	// UnreadableRest is the rest of a runner that names no time that can be read.
	UnreadableRest time.Duration
	// LeavingFor is how long a runner that stays is left alone after it said last that it
	// leaves.
	LeavingFor time.Duration
	// LeastRate is taken, in requests a second, where a runner names a smaller limit or zero, so
	// that some request finds out when it is over.
	LeastRate float64
	// LimitFor is how long a limit is believed that no answer names or lifts.
	LimitFor time.Duration
}

const (
	// headerRest names the time, in seconds, after which a runner that turned a request away
	// takes another one.
	headerRest = "Retry-After"
	// leaves is the platform's value for a runner that leaves. One that stays leaves the header
	// out; stays is taken as the same.
	leaves = "1"
	stays  = "0"
)

// Headers are the names of the headers in which runners make statements.
type Headers struct {
	// Leaving says that the runner leaves.
	Leaving string
	// Limit names how many requests a second it takes.
	Limit string
}

// read returns the statements in the head of an answer, and what of it could not be taken as
// it was said.
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
	for _, value := range header.Values(names.Leaving) {
		switch strings.TrimSpace(value) {
		case leaves:
			statements = append(statements, Leaving{})
		case stays, "":
		default:
			problems = append(problems, fmt.Sprintf("leaving: %q is not known", value))
		}
	}
	if !turnsAway(status) {
		return statements, problems
	}
	for _, value := range header.Values(headerRest) {
		lasting, problem := restOf(value, limits)
		if problem != "" {
			problems = append(problems, problem)
		}
		if lasting > 0 {
			statements = append(statements, Rest{For: lasting})
		}
	}
	return statements, problems
}

// rateOf reads a limit; zero for none that can be taken. problem says why it is not what was named.
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

// turnsAway reports whether an answer with the status may ask for a rest.
func turnsAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// restOf reads the time of a rest. problem says why it is not the time that was named.
func restOf(value string, limits Limits) (lasting time.Duration, problem string) {
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
