package dispatch

import "time"

// wait describes a request that no runner can take now.
type wait struct {
	// elapsed is the time since the request arrived, maxWait the longest time that it may wait.
	elapsed time.Duration
	maxWait time.Duration
	// objective is the time within which the answer is to begin; zero for none.
	objective time.Duration
	// expected is the time until a runner can take it, if known.
	expected time.Duration
	known    bool
	// earliest is the shortest possible time until a runner can take it, if known. It may be less
	// than expected, as another runner may become available first.
	earliest time.Duration
	// scheduled is set when a runner becomes available after that time without any further event: a
	// cold runner, or one that is in a rest that it asked for.
	scheduled bool
	// exact is set when the runner cannot become available earlier than expected, queueFull when as
	// many requests as it is expected to take already wait for it.
	exact, queueFull bool
	// retried is set when the client was refused before and tries again.
	retried bool
}

// minRecheck is the shortest time after which a request that waits for a known moment checks again
// by itself.
const minRecheck = 10 * time.Millisecond

const (
	// promptRefusalShare is the part of the objective within which a refusal costs the client
	// little.
	promptRefusalShare = 0.22
	// startMarginShare is the part of the objective that the runner itself needs to begin the
	// answer, at most maxStartMargin.
	startMarginShare = 0.3
	maxStartMargin   = 300 * time.Millisecond
	// minRetryAfter is the shortest retry time given to a refused client.
	minRetryAfter = 100 * time.Millisecond
)

// waitDecision says what to do with a waiting request.
type waitDecision uint8

const (
	// keepWaiting holds the request until the next check.
	keepWaiting waitDecision = iota
	// retryLater refuses it, as it is served better when the client tries again.
	retryLater
	// giveUp refuses it, as its time is over.
	giveUp
)

// decide weighs waiting against refusing. A request that can still be served within its objective
// waits. One that cannot is refused at once, with the time at which it can be served. A request
// that was refused before, or that could not be sent again in time, waits if it can be served
// before its deadline at all. recheck is when to decide again.
func (w wait) decide() (decision waitDecision, retryAfter, recheck time.Duration) {
	if w.elapsed >= w.maxWait || w.queueFull {
		return giveUp, max(w.expected, defaultRetryAfter), 0
	}
	if (w.retried || w.exact) && w.known && w.elapsed+w.earliest > w.maxWait {
		// No runner can take it before its deadline, so waiting gains nothing.
		return giveUp, w.expected, 0
	}
	remaining := w.maxWait - w.elapsed
	prompt := time.Duration(promptRefusalShare * float64(w.objective))
	if w.retried && !w.known && w.elapsed < prompt {
		return keepWaiting, 0, min(prompt-w.elapsed, remaining)
	}
	if w.scheduled {
		remaining = min(remaining, max(w.expected, minRecheck))
	}
	if w.objective == 0 || w.retried || w.elapsed > prompt+promptSlack {
		return keepWaiting, 0, remaining
	}
	if !w.known {
		// A load that has begun is reported within this time.
		return keepWaiting, 0, min(max(prompt-w.elapsed, time.Millisecond), remaining)
	}
	margin := min(time.Duration(startMarginShare*float64(w.objective)), maxStartMargin)
	if w.elapsed+w.expected <= w.objective-margin {
		return keepWaiting, 0, remaining
	}
	return retryLater, max(w.expected, minRetryAfter), 0
}

// promptSlack is how late the decision on a prompt refusal may come.
const promptSlack = 30 * time.Millisecond
