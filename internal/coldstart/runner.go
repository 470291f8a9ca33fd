package coldstart

import (
	"slices"
	"time"
)

const (
	// answerTime is how long an answer of the holder is expected to take: twice the way
	// to another zone and a busy machine.
	answerTime = 30 * time.Millisecond
	// warmingStarts is for how many times its cold time a runner's share grows after it
	// was cold: long enough for some answers at each node of a large fleet.
	warmingStarts = 2
	// firstShare is how many requests of one node a runner that was cold just now gets at
	// once at no further cost.
	firstShare = 1
)

// Runner is what a node knows of one incarnation's coldness and may send there. It is
// not safe for concurrent use. Cold, May, Spend and Next take the runner's name and the
// terms of its service, which may change.
type Runner struct {
	// said is until when the runner is cold by its own word.
	said time.Time
	// supposed is since when it is taken to be cold as nobody said that it is not.
	supposed time.Time
	// saidAt is when its last word was heard.
	saidAt time.Time
	// permits are what may be spent, oldest first.
	permits []permit
	// sentAt is when this node sent last to it.
	sentAt time.Time
	// nextAt is when the holder expects to have another permit.
	nextAt time.Time
	// prompt counts the answers within their objective since it was cold.
	prompt int
}

type permit struct {
	count int
	until time.Time
}

// Word is what a row says of a runner's coldness.
type Word struct {
	// For is how much longer it stays cold; zero when it is not cold.
	For time.Duration
	// Proof is set when a word that it is not cold counts: not in the first row that is
	// heard of a runner that came while this node ran.
	Proof bool
}

// Hear takes over a row's word.
func (r *Runner) Hear(word Word, now time.Time) {
	r.saidAt = now
	switch {
	case word.For > 0:
		r.said, r.supposed = now.Add(min(word.For, Longest)), time.Time{}
		r.prompt = 0
	case !word.Proof:
		r.supposed = now
		r.prompt = 0
	default:
		r.warm(now)
	}
}

// warm ends the coldness now, if it is cold; it goes on to be one that was.
func (r *Runner) warm(now time.Time) {
	if !r.supposed.IsZero() || now.Before(r.said) {
		r.said = now
	}
	r.supposed = time.Time{}
}

// Said reports whether the runner's own word is the last one of its coldness.
func (r *Runner) Said() bool { return r.supposed.IsZero() }

// NeverCold reports whether no row ever spoke or left open that the runner is cold.
func (r *Runner) NeverCold() bool { return r.said.IsZero() && r.supposed.IsZero() }

// Until is until when the runner is cold; returned is when its zone was taken back last,
// zero for never. It is zero when the runner was never cold.
func (r *Runner) Until(terms Terms, returned time.Time) time.Time {
	if terms.Rate == 0 {
		return time.Time{}
	}
	until := r.said
	if !r.supposed.IsZero() {
		until = later(until, r.supposed.Add(terms.Start))
	}
	if returned.After(r.saidAt) {
		until = later(until, returned.Add(terms.Start))
	}
	return until
}

// Lent takes over what the holder lent in answer to a question sent then, and the time
// until it expects to lend more, from now on.
func (r *Runner) Lent(count int, sent time.Time, next time.Duration, now time.Time) {
	r.nextAt = now.Add(next)
	if until := sent.Add(Validity); count > 0 && now.Before(until) {
		r.permits = append(r.permits, permit{count: count, until: until})
	}
}

// Permits is how many requests may be sent by what was lent.
func (r *Runner) Permits(now time.Time) int {
	count := 0
	for _, p := range r.current(now) {
		count += p.count
	}
	return count
}

// current drops permits that ran out. All are valid for as long as another, so they run
// out in the order in which their questions were sent, nearly that of their answers.
func (r *Runner) current(now time.Time) []permit {
	kept := r.permits[:0]
	for _, p := range r.permits {
		if p.count > 0 && now.Before(p.until) {
			kept = append(kept, p)
		}
	}
	r.permits = kept
	return kept
}

// May reports whether one request may be sent to a cold runner now.
func (r *Runner) May(id string, terms Terms, now time.Time) bool {
	switch way := terms.Way.(type) {
	case Lent:
		return len(r.current(now)) > 0
	case Drawn:
		return now.Sub(r.sentAt) > Second && way.drawn(id, terms.Bound, now)
	case Shared:
		return way.turns(id, terms.Rate).may(r.sentAt, now)
	default:
		return false
	}
}

// Sent notes that one request is sent to a runner that gets any number.
func (r *Runner) Sent(now time.Time) { r.sentAt = now }

// Spend notes that one request is sent to a cold runner. May has allowed it. until is when
// it must have been sent if it is held back; now where a draw allowed it.
func (r *Runner) Spend(terms Terms, now time.Time) (until time.Time) {
	r.sentAt = now
	switch terms.Way.(type) {
	case Lent:
	case Shared:
		return now.Add(Validity)
	default:
		return now
	}
	permits := r.current(now)
	if len(permits) == 0 {
		return now
	}
	permits[0].count--
	return permits[0].until
}

// Return gives back a permit that held until then, of a request that was not sent.
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

// Next is the time until a request may be sent to a cold runner, as far as is known;
// holderIn is the time until a holder lends at all.
func (r *Runner) Next(id string, terms Terms, holderIn time.Duration, now time.Time) time.Duration {
	switch way := terms.Way.(type) {
	case Lent:
		return max(holderIn, r.nextAt.Sub(now), 0) + answerTime
	case Drawn:
		return max(way.next(id, terms.Bound, now), r.sentAt.Add(Second).Sub(now), 0)
	case Shared:
		return way.turns(id, terms.Rate).next(r.sentAt, now)
	default:
		return Longest
	}
}

// Answered notes an answer of the runner, prompt when it came within its objective.
func (r *Runner) Answered(prompt bool) {
	if prompt {
		r.prompt++
	}
}

// Warming reports whether a runner that was cold until then still has to show what it
// bears, and how many requests of this node it gets at once at no further cost.
func (r *Runner) Warming(until time.Time, terms Terms, now time.Time) (share int, warming bool) {
	if until.IsZero() || now.Before(until) || now.Sub(until) >= warmingStarts*terms.Start {
		return 0, false
	}
	return firstShare + r.prompt, true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
