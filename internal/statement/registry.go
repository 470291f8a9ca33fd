package statement

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Kind names kinds of statements in metrics.
type Kind string

// The kinds of statements. KindDoubtful counts statements that were not accepted as given.
const (
	KindLeaving  Kind = "leaving"
	KindRest     Kind = "rest"
	KindLimit    Kind = "limit"
	KindBrittle  Kind = "brittle"
	KindDoubtful Kind = "doubtful"
)

// Source describes the answer that contained a statement.
type Source struct {
	// Runner identifies the incarnation that answered. If it is empty, the incarnation is
	// unknown and the answer is ignored.
	Runner string
	// Request is the request that was answered; empty for a question or an order of the node.
	Request string
	// Peer is the node that passed the statement on; empty if this node received it itself.
	Peer string
}

// Options configures a Registry.
type Options struct {
	// Headers are the names of the headers to read.
	Headers Headers
	// Limits returns the limits in force.
	Limits func() Limits
	// Now reads a clock that keeps running while the machine is suspended, since rests end
	// meanwhile.
	Now func() time.Time
	Log logr.Logger
	// Observe, if set, is called for each statement.
	Observe func(Kind)
	// OnChange, if set, is called with each statement that changes what was known of the runner.
	OnChange func(source Source, statement Statement)
	// OnCapacity, if set, is called when a runner that has rested may get more requests at once,
	// or when a runner's limit ends.
	OnCapacity func()
}

// Registry holds the current statements of runners. Its methods may be called concurrently; a
// nil Registry reads and holds nothing.
type Registry struct {
	options Options
	// recordCount is the size of runners, so that callers need no lock while it is zero.
	recordCount atomic.Int64

	mutex   sync.RWMutex
	runners map[string]*record
}

// record holds what an incarnation stated. Registry.mutex guards it.
type record struct {
	// leavingAt is when the runner last stated to any node that it leaves, ownLeavingAt when this
	// node last read that from an answer. restsUntil is the latest end of its rests.
	// problemLoggedAt is when a problem with its statements was last logged. All are zero for
	// never.
	leavingAt, ownLeavingAt, restsUntil, problemLoggedAt time.Time
	// limit is how many requests per second the runner takes from all nodes together, brittle how
	// many it may reject within a second.
	limit, brittle number
	// window is how many requests that the runner has not begun to answer it may have after its
	// rest; zero for any number.
	window int
}

const (
	// initialWindow is how many requests a runner may have at once after a rest. As long as it
	// rejects none, each answer raises the window by one, so that it doubles with each round
	// trip (slow start). In the test with many requests, 222 and 226 were rejected with it, 259
	// and 263 without (means of three runs each).
	initialWindow = 2
	// maxWindow is the window at which the bound is dropped: more requests than a node usually
	// has at one runner.
	maxWindow = 64
	// recoveryTimeout is how long after a rest the bound is dropped in any case, for runners
	// that get few requests.
	recoveryTimeout = 10 * time.Second
)

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{options: options, runners: make(map[string]*record)}
}

// ReadHeader reads the statements in the header of a runner's answer. An answer with status 421
// is ignored: another runner that now has the address may have sent it.
func (reg *Registry) ReadHeader(source Source, status int, header http.Header) {
	if reg == nil || source.Runner == "" || status == http.StatusMisdirectedRequest {
		return
	}
	statements, problems := read(reg.options.Headers, reg.options.Limits(), status, header)
	if source.Request != "" {
		reg.liftUnstated(source, header)
	}
	if len(statements)+len(problems) == 0 {
		if source.Request != "" && !mayRequestRest(status) {
			reg.widen(source.Runner)
		}
		return
	}
	if len(problems) > 0 {
		reg.reportProblems(source, status, problems)
	}
	for _, statement := range statements {
		reg.apply(source, statement)
	}
}

// liftUnstated ends the numbers that an answer to a request does not state.
func (reg *Registry) liftUnstated(source Source, header http.Header) {
	if len(header.Values(reg.options.Headers.Limit)) == 0 {
		reg.lift(source, KindLimit)
	}
	if len(header.Values(reg.options.Headers.Brittle)) == 0 {
		reg.lift(source, KindBrittle)
	}
}

// problemLogInterval is the minimum time between two log lines about problems with one runner's
// statements: a runner that sends malformed headers does so with each answer.
const problemLogInterval = time.Second

// reportProblems counts and logs statements that were not accepted as given.
func (reg *Registry) reportProblems(source Source, status int, problems []string) {
	reg.count(KindDoubtful)
	now := reg.options.Now()
	reg.mutex.Lock()
	rec := reg.recordOf(source.Runner, now)
	log := !within(rec.problemLoggedAt, now, problemLogInterval)
	if log {
		rec.problemLoggedAt = now
	}
	reg.mutex.Unlock()
	if log {
		reg.options.Log.Info("runner's statement in doubt", "runner", source.Runner, "request", source.Request, "status", status, "problems", problems)
	}
}

// widen enlarges the window of a runner that has rested, after it answered a request.
func (reg *Registry) widen(runner string) {
	if reg.recordCount.Load() == 0 {
		return
	}
	reg.mutex.Lock()
	rec := reg.runners[runner]
	widened := rec != nil && rec.widen(reg.options.Now())
	reg.mutex.Unlock()
	if widened && reg.options.OnCapacity != nil {
		reg.options.OnCapacity()
	}
}

func (reg *Registry) count(kind Kind) {
	if reg.options.Observe != nil {
		reg.options.Observe(kind)
	}
}

// apply records a statement and announces it if it is a change.
func (reg *Registry) apply(source Source, statement Statement) {
	if reg.update(source, statement) {
		reg.announce(source, statement)
	}
}

// announce logs a change and passes it to Options.OnChange.
func (reg *Registry) announce(source Source, statement Statement) {
	switch statement := statement.(type) {
	case Leaving:
		reg.options.Log.Info("runner says that it leaves", "runner", source.Runner, "request", source.Request, "peer", source.Peer)
	case Rest:
		reg.options.Log.Info("runner wants rest", "runner", source.Runner, "request", source.Request, "forMs", statement.For.Milliseconds())
	case Limit:
		reg.options.Log.Info("runner names a limit", "runner", source.Runner, "request", source.Request, "peer", source.Peer, "rate", statement.Rate)
	case Brittle:
		reg.options.Log.Info("runner says that it is brittle", "runner", source.Runner, "request", source.Request, "peer", source.Peer, "rejections", statement.Rejections)
	}
	if reg.options.OnChange != nil {
		reg.options.OnChange(source, statement)
	}
}

// update records a statement and reports whether it is a change.
func (reg *Registry) update(source Source, statement Statement) bool {
	now := reg.options.Now()
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	rec := reg.recordOf(source.Runner, now)
	switch statement := statement.(type) {
	case Leaving:
		reg.count(KindLeaving)
		return rec.leave(now, reg.options.Limits().LeavingFor)
	case Rest:
		reg.count(KindRest)
		return rec.rest(now, statement.For)
	case Limit:
		reg.count(KindLimit)
		rec.limit.ownAt = now
		return rec.limit.set(now, statement.Rate, reg.options.Limits().LimitFor)
	case Brittle:
		reg.count(KindBrittle)
		rec.brittle.ownAt = now
		return rec.brittle.set(now, statement.Rejections, reg.options.Limits().LimitFor)
	default:
		return false
	}
}

// recordOf returns a runner's record, creating an empty one if needed, and removes expired
// records. mutex is held.
func (reg *Registry) recordOf(runner string, now time.Time) *record {
	reg.sweep(now)
	rec := reg.runners[runner]
	if rec == nil {
		rec = &record{}
		reg.runners[runner] = rec
	}
	reg.recordCount.Store(int64(len(reg.runners)))
	return rec
}

// State is what a runner stated that is still in force.
type State struct {
	// Leaving is set while the runner is considered to be leaving.
	Leaving bool
	// Rest is how much longer the runner wants no requests; zero if it does not rest.
	Rest time.Duration
	// Window is how many requests that the runner has not begun to answer it may have after its
	// rest; zero for any number.
	Window int
	// Rate is how many requests per second the runner takes from all nodes together, RateFor how
	// much longer that applies. Both are zero if it stated no limit.
	Rate    float64
	RateFor time.Duration
	// Brittle is set while the runner ends if it has to reject more than Rejections requests within
	// a second for lack of room.
	Brittle    bool
	Rejections float64
}

// State returns what a runner stated that is still in force.
func (reg *Registry) State(runner string) State {
	if reg.Empty() {
		return State{}
	}
	reg.mutex.RLock()
	defer reg.mutex.RUnlock()
	rec := reg.runners[runner]
	if rec == nil {
		return State{}
	}
	now := reg.options.Now()
	state := State{Leaving: rec.leaves(now, reg.options.Limits().LeavingFor), Rest: max(rec.restsUntil.Sub(now), 0)}
	if rec.recovering(now) {
		state.Window = rec.window
	}
	duration := reg.options.Limits().LimitFor
	if rec.limit.inForce(now, duration) {
		state.Rate, state.RateFor = rec.limit.value, rec.limit.at.Add(duration).Sub(now)
	}
	if rec.brittle.inForce(now, duration) {
		state.Brittle, state.Rejections = true, rec.brittle.value
	}
	return state
}

// Empty reports whether no runner's statement is in force.
func (reg *Registry) Empty() bool { return reg == nil || reg.recordCount.Load() == 0 }

// CountResting returns the number of runners that want no requests from this node now.
func (reg *Registry) CountResting() int {
	reg.mutex.RLock()
	defer reg.mutex.RUnlock()
	now, count := reg.options.Now(), 0
	for _, rec := range reg.runners {
		if now.Before(rec.restsUntil) {
			count++
		}
	}
	return count
}

// leave records that the runner leaves, and reports whether that is a change.
func (r *record) leave(now time.Time, duration time.Duration) bool {
	changed := !r.leaves(now, duration)
	r.leavingAt, r.ownLeavingAt = now, now
	return changed
}

// rest records a rest, and reports whether the runner was not resting before. The latest end
// applies: a shorter rest requested later does not shorten one that an earlier answer asked for.
func (r *record) rest(now time.Time, duration time.Duration) bool {
	changed := !now.Before(r.restsUntil)
	r.window = initialWindow
	if end := now.Add(duration); end.After(r.restsUntil) {
		r.restsUntil = end
	}
	return changed
}

// recovering reports whether the runner has rested and its window is still bounded.
func (r *record) recovering(now time.Time) bool {
	return r.window > 0 && !now.Before(r.restsUntil) && now.Sub(r.restsUntil) < recoveryTimeout
}

// widen enlarges the window if the runner is recovering, and reports whether it did so.
func (r *record) widen(now time.Time) bool {
	if !r.recovering(now) {
		return false
	}
	r.window++
	if r.window >= maxWindow {
		r.window = 0
	}
	return true
}

// sweep removes records with nothing in force. mutex is held.
func (reg *Registry) sweep(now time.Time) {
	limits := reg.options.Limits()
	for id, rec := range reg.runners {
		if !rec.needed(now, limits) {
			delete(reg.runners, id)
		}
	}
}

// needed reports whether a record says anything that still matters.
func (r *record) needed(now time.Time, limits Limits) bool {
	return r.leaves(now, limits.LeavingFor) || r.limit.known(now, limits.LimitFor) || r.brittle.known(now, limits.LimitFor) ||
		now.Before(r.restsUntil) || r.recovering(now) || within(r.problemLoggedAt, now, problemLogInterval)
}

// leaves reports whether the runner said within the given duration that it leaves.
func (r *record) leaves(now time.Time, duration time.Duration) bool {
	return within(r.leavingAt, now, duration)
}

// within reports whether at lies within the given duration before now. A zero at means never.
func within(at, now time.Time, duration time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < duration
}
