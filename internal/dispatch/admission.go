package dispatch

import "time"

// wait is what is known of a request that no runner can take now.
type wait struct {
	// elapsed is the time since the request arrived, hold the longest time that
	// it may be held.
	elapsed time.Duration
	hold    time.Duration
	// objective is the time of a prompt answer; zero for none.
	objective time.Duration
	// expected is the time until a runner can take it, if known.
	expected time.Duration
	known    bool
	// least is the least time until a runner can take it, if known: what is expected may
	// turn out better, as another runner may take over.
	least time.Duration
	// dated is set when a runner may take it by then without any further news: a cold one, or
	// one that rests.
	dated bool
	// firm is set when what is expected cannot come sooner, crowded when those that wait for
	// it already are as many as it can be expected to take.
	firm, crowded bool
	// returned is set when the client was refused before and came back.
	returned bool
}

// leastLook is the shortest time after which a request that waits for a known moment looks
// again by itself.
const leastLook = 10 * time.Millisecond

const (
	// promptRefusal is the part of the objective within which a refusal costs
	// the client little.
	promptRefusal = 0.22
	// startMargin is the part of the objective that the runner needs itself, at
	// most longestMargin.
	startMargin   = 0.3
	longestMargin = 300 * time.Millisecond
	// leastReturn is the shortest time after which a refused client comes back.
	leastReturn = 100 * time.Millisecond
)

// verdict says what to do with a waiting request.
type verdict uint8

const (
	// keepWaiting holds it until again.
	keepWaiting verdict = iota
	// sendBack refuses it, as it is better served when it comes back.
	sendBack
	// giveUp refuses it, as its time is over.
	giveUp
)

// decide weighs a wait against a refusal. A request that can still be served
// within its objective waits. One that cannot is refused at once, with the time
// at which it can be served. A client that was sent back
// already, or could not come back in time, waits if it can be served in its time at all.
// again is when to decide anew.
func (w wait) decide() (decision verdict, retryAfter, again time.Duration) {
	if w.elapsed >= w.hold || w.crowded {
		return giveUp, max(w.expected, defaultReturn), 0
	}
	if (w.returned || w.firm) && w.known && w.elapsed+w.least > w.hold {
		// Nothing can take it before its time is over, and nobody gains by its wait.
		return giveUp, w.expected, 0
	}
	rest := w.hold - w.elapsed
	prompt := time.Duration(promptRefusal * float64(w.objective))
	if w.returned && !w.known && w.elapsed < prompt {
		return keepWaiting, 0, min(prompt-w.elapsed, rest)
	}
	if w.dated {
		rest = min(rest, max(w.expected, leastLook))
	}
	if w.objective == 0 || w.returned || w.elapsed > prompt+promptSlack {
		return keepWaiting, 0, rest
	}
	if !w.known {
		// News of a load come within this time.
		return keepWaiting, 0, min(max(prompt-w.elapsed, time.Millisecond), rest)
	}
	margin := min(time.Duration(startMargin*float64(w.objective)), longestMargin)
	if w.elapsed+w.expected <= w.objective-margin {
		return keepWaiting, 0, rest
	}
	return sendBack, max(w.expected, leastReturn), 0
}

// promptSlack is how late the decision on a prompt refusal may come.
const promptSlack = 30 * time.Millisecond
