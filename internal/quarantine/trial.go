package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

const (
	// trialPeriod is how long a trial may take until another one is granted though its outcome is not
	// known: longer than runners take to crash, and than nodes take to notice it.
	trialPeriod = 5 * time.Second
	// trialDelay is how long a request is held before it is tried: attempts that were under way by then may
	// show as much.
	trialDelay = 250 * time.Millisecond
	// trialPause is the least time between two questions of a node for a trial of the same request.
	trialPause = 250 * time.Millisecond
	// trialTimeout bounds one question, askTimeout all of them until a node has answered.
	trialTimeout = 300 * time.Millisecond
	askTimeout   = time.Second
	// maxTrials bounds the contents and parts of which a node keeps trials.
	maxTrials = 4096
)

// trials are the trials that this node granted, and those that it asked for. Its methods may be called
// concurrently.
type trials struct {
	mutex sync.Mutex
	// granted is when a trial was granted, asked when one was last asked for; runners is when one was granted
	// at a runner.
	granted map[poison.Identity]time.Time
	asked   map[poison.Identity]time.Time
	runners map[string]time.Time
}

// grant grants a trial unless one with the same content or part, or at the same runner, is under way.
func (t *trials) grant(request wire.TrialRequest, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.granted == nil {
		t.granted, t.runners = make(map[poison.Identity]time.Time), make(map[string]time.Time)
	}
	if at, taken := t.runners[request.Runner]; taken && now.Sub(at) < trialPeriod {
		return false
	}
	if !begin(t.granted, request.Requests, now, trialPeriod) {
		return false
	}
	maps.DeleteFunc(t.runners, func(_ string, at time.Time) bool { return now.Sub(at) >= trialPeriod })
	t.runners[request.Runner] = now
	return true
}

// ask reports whether a trial may be asked for now; if not, after which time.
func (t *trials) ask(held []poison.Identity, now time.Time) (after time.Duration, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.asked == nil {
		t.asked = make(map[poison.Identity]time.Time)
	}
	if begin(t.asked, held, now, trialPause) {
		return 0, true
	}
	for _, identity := range held {
		after = max(after, trialPause-now.Sub(t.asked[identity]))
	}
	return after, false
}

// begin records the time for all identities; false if one was recorded less than a period ago.
func begin(times map[poison.Identity]time.Time, held []poison.Identity, now time.Time, period time.Duration) bool {
	maps.DeleteFunc(times, func(_ poison.Identity, at time.Time) bool { return now.Sub(at) >= period })
	if len(times)+len(held) > maxTrials || slices.ContainsFunc(held, func(identity poison.Identity) bool { return !times[identity].IsZero() }) {
		return false
	}
	for _, identity := range held {
		times[identity] = now
	}
	return true
}

// leave ends the trial at a runner that goes on.
func (t *trials) leave(runner string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.runners, runner)
}

// end ends the trial of a request, whose outcome is known.
func (t *trials) end(request poison.Identity) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.granted, request)
	delete(t.asked, request)
}

// Trial asks to send a request to a runner whose content or parts are held. Of all requests with them, one may
// be under way, and one trial at a runner: its end would be blamed on each. If it is not granted, retryAfter
// is when to ask again.
func (q *Quarantine) Trial(ctx context.Context, held []poison.Identity, runner string) (granted bool, retryAfter time.Duration) {
	if after, ok := q.trials.ask(held, time.Now()); !ok {
		return false, after
	}
	return q.askTrial(ctx, wire.TrialRequest{Requests: held, Runner: runner}).Granted, trialPause
}

// TrialEnded says that a trial is over whose runner goes on.
func (q *Quarantine) TrialEnded(held []poison.Identity, runner string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	q.calls.Go(func() { q.askTrial(q.ctx, wire.TrialRequest{Requests: held, Runner: runner, Ended: true}) })
}

// askTrial sends the question to the first node that answers of those that all nodes ask in the same order.
// Without other nodes this one decides.
func (q *Quarantine) askTrial(ctx context.Context, request wire.TrialRequest) wire.TrialAnswer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	addresses := q.nodes.Load().aggregators
	for _, address := range addresses {
		if address == q.Self() {
			return q.GrantTrial(request)
		}
		answer, err := q.askOne(ctx, address, request)
		if err == nil {
			return answer
		}
		q.Log.Info("trial not asked for", "step", "ask for trial", "peer", address, "error", err.Error())
		if ctx.Err() != nil {
			return wire.TrialAnswer{}
		}
	}
	if len(addresses) > 0 {
		return wire.TrialAnswer{}
	}
	return q.GrantTrial(request)
}

// askOne sends the question to one node.
func (q *Quarantine) askOne(ctx context.Context, address string, request wire.TrialRequest) (wire.TrialAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	return q.AskTrial(ctx, address, request)
}

// GrantTrial decides on the trial that a node asks for.
func (q *Quarantine) GrantTrial(request wire.TrialRequest) wire.TrialAnswer {
	if request.Ended {
		q.trials.leave(request.Runner)
		for _, identity := range request.Requests {
			q.trials.end(identity)
		}
		return wire.TrialAnswer{}
	}
	for _, identity := range request.Requests {
		mark, known := q.marks.Find(identity)
		if !known {
			continue
		}
		if mark.Known(time.Now()) < trialDelay || q.marks.Judge(mark, request.Requests) == poison.Refused {
			return wire.TrialAnswer{}
		}
	}
	return wire.TrialAnswer{Granted: q.trials.grant(request, time.Now())}
}
