package coldstart

import (
	"slices"
	"time"
)

const (
	// answerTime is the expected time until the lease holder answers: a round trip to another
	// zone and the delay of a busy machine.
	answerTime = 30 * time.Millisecond
	// warmingStarts is the number of cold start times after the end of the cold start during
	// which the runner's allowance grows: long enough for some answers at each node of a large
	// fleet.
	warmingStarts = 2
	// initialAllowance is the number of concurrent requests of one node that a runner gets at
	// no extra cost right after its cold start.
	initialAllowance = 1
)

// Runner is a node's state of one incarnation of a runner: whether it is cold and what may be
// sent to it. It is not safe for concurrent use. Methods that take the runner's name and the
// terms of its service accept terms that change between calls.
type Runner struct {
	// statedUntil is the end of the cold start as the runner stated it.
	statedUntil time.Time
	// assumedSince is when the runner began to count as cold because nothing said that it is
	// not.
	assumedSince time.Time
	// statusAt is when its last status was received.
	statusAt time.Time
	// permits are the permits that may be spent, oldest first.
	permits []permit
	// sentAt is when this node last sent a request to it.
	sentAt time.Time
	// nextAt is when the lease holder expects to have another permit.
	nextAt time.Time
	// prompt counts the answers within their objective since the runner was cold.
	prompt int
}

// permit allows a number of requests until it expires.
type permit struct {
	count int
	until time.Time
}

// Status is the cold start status in a row of a runner.
type Status struct {
	// ColdFor is the remaining time for which the runner is cold, zero if it is not.
	ColdFor time.Duration
	// Conclusive is set if a status that is not cold may be relied on. It is not set for the
	// first row of a runner that appeared while this node was running.
	Conclusive bool
}

// ApplyStatus applies the status in a row that was received at now.
func (r *Runner) ApplyStatus(status Status, now time.Time) {
	r.statusAt = now
	switch {
	case status.ColdFor > 0:
		r.statedUntil, r.assumedSince = now.Add(min(status.ColdFor, MaxDuration)), time.Time{}
		r.prompt = 0
	case !status.Conclusive:
		r.assumedSince = now
		r.prompt = 0
	default:
		r.endCold(now)
	}
}

// endCold ends the cold start now if the runner is cold. The runner then counts as one that
// was cold recently.
func (r *Runner) endCold(now time.Time) {
	if !r.assumedSince.IsZero() || now.Before(r.statedUntil) {
		r.statedUntil = now
	}
	r.assumedSince = time.Time{}
}

// StatedByRunner reports whether the cold status comes from the runner itself and was not
// assumed since.
func (r *Runner) StatedByRunner() bool { return r.assumedSince.IsZero() }

// NeverCold reports whether every row so far ruled out that the runner is cold.
func (r *Runner) NeverCold() bool { return r.statedUntil.IsZero() && r.assumedSince.IsZero() }

// Until returns the end of the cold start, or the zero time if the runner was never cold or
// the terms have no cold start. returned is when its zone was last taken back, zero for never.
func (r *Runner) Until(terms Terms, returned time.Time) time.Time {
	if terms.Rate == 0 {
		return time.Time{}
	}
	until := r.statedUntil
	if !r.assumedSince.IsZero() {
		until = later(until, r.assumedSince.Add(terms.Start))
	}
	if returned.After(r.statusAt) {
		until = later(until, returned.Add(terms.Start))
	}
	return until
}

// AddPermits adds the permits from the lease holder's answer to a request sent at sent. next is the
// time from now until the holder expects to lend more.
func (r *Runner) AddPermits(count int, sent time.Time, next time.Duration, now time.Time) {
	r.nextAt = now.Add(next)
	if until := sent.Add(Validity); count > 0 && now.Before(until) {
		r.permits = append(r.permits, permit{count: count, until: until})
	}
}

// Permits returns the number of requests that the permits allow.
func (r *Runner) Permits(now time.Time) int {
	count := 0
	for _, p := range r.validPermits(now) {
		count += p.count
	}
	return count
}

// validPermits drops expired permits. All permits are valid for the same time, so they expire
// in the order of the requests for them, which is nearly the order of the answers.
func (r *Runner) validPermits(now time.Time) []permit {
	kept := r.permits[:0]
	for _, p := range r.permits {
		if p.count > 0 && now.Before(p.until) {
			kept = append(kept, p)
		}
	}
	r.permits = kept
	return kept
}

// MaySend reports whether one request may be sent to a cold runner now.
func (r *Runner) MaySend(id string, terms Terms, now time.Time) bool {
	switch strategy := terms.Strategy.(type) {
	case Lent:
		return len(r.validPermits(now)) > 0
	case Randomized:
		return now.Sub(r.sentAt) > Window && strategy.maySend(id, terms.Bound, now)
	case TimeSliced:
		return strategy.timeSlots(id, terms.Rate).maySend(r.sentAt, now)
	default:
		return false
	}
}

// Sent records that a request is sent to a runner without a limit.
func (r *Runner) Sent(now time.Time) { r.sentAt = now }

// Spend records that a request is sent to a cold runner. MaySend must have allowed it. until
// is the time by which the request must have been sent if it is held back. It is now if a
// random draw allowed it.
func (r *Runner) Spend(terms Terms, now time.Time) (until time.Time) {
	r.sentAt = now
	switch terms.Strategy.(type) {
	case Lent:
	case TimeSliced:
		return now.Add(Validity)
	default:
		return now
	}
	permits := r.validPermits(now)
	if len(permits) == 0 {
		return now
	}
	permits[0].count--
	return permits[0].until
}

// Return returns a permit that is valid until the given time, if its request was not sent.
func (r *Runner) Return(until, now time.Time) {
	if !now.Before(until) {
		return
	}
	first := 0
	for first < len(r.permits) && !r.permits[first].until.After(until) {
		first++
	}
	r.permits = slices.Insert(r.permits, first, permit{count: 1, until: until})
}

// Next returns the expected time until a request may be sent to a cold runner. holderIn is the
// time until there is a lease holder that lends permits.
func (r *Runner) Next(id string, terms Terms, holderIn time.Duration, now time.Time) time.Duration {
	switch strategy := terms.Strategy.(type) {
	case Lent:
		return max(holderIn, r.nextAt.Sub(now), 0) + answerTime
	case Randomized:
		return max(strategy.next(id, terms.Bound, now), r.sentAt.Add(Window).Sub(now), 0)
	case TimeSliced:
		return strategy.timeSlots(id, terms.Rate).next(r.sentAt, now)
	default:
		return MaxDuration
	}
}

// Answered records an answer of the runner. prompt is set if the answer met its latency
// objective.
func (r *Runner) Answered(prompt bool) {
	if prompt {
		r.prompt++
	}
}

// Warming reports whether a runner that was cold until the given time has yet to show its
// capacity. allowance is the number of concurrent requests of this node that it then gets at
// no extra cost.
func (r *Runner) Warming(until time.Time, terms Terms, now time.Time) (allowance int, warming bool) {
	if until.IsZero() || now.Before(until) || now.Sub(until) >= warmingStarts*terms.Start {
		return 0, false
	}
	return initialAllowance + r.prompt, true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
