package statement

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Kind names statements in figures.
type Kind string

// The kinds. KindDoubtful are those that could not be taken as they were said.
const (
	KindLeaving  Kind = "leaving"
	KindRest     Kind = "rest"
	KindLimit    Kind = "limit"
	KindDoubtful Kind = "doubtful"
)

// Source says whose answer a statement stood in.
type Source struct {
	// Runner identifies the incarnation that answered; empty where it is not known, and the
	// answer is not heard.
	Runner string
	// Request is the request that was answered; empty for a question or an order of the node.
	Request string
	// Peer is the node that told of the statement; empty where this node heard it.
	Peer string
}

// Options of a book.
type Options struct {
	// Headers are the names of those that are read.
	Headers Headers
	// Limits returns those in force.
	Limits func() Limits
	// Now reads a clock that goes on while the machine is suspended: rests end meanwhile.
	Now func() time.Time
	Log logr.Logger
	// Observe is told of each statement; not set where nobody counts.
	Observe func(Kind)
	// News is told what a runner did not state before; not set where nobody wants to know.
	News func(source Source, made Statement)
	// Widened is called when a runner that has rested may have more at once; not set where
	// nobody waits for that.
	Widened func()
}

// Book remembers the statements of runners. Its methods may be called concurrently; a nil Book
// hears and knows nothing.
type Book struct {
	options Options
	// known is how many runners there are in runners, so that nobody locks for nothing.
	known atomic.Int64

	mutex   sync.RWMutex
	runners map[string]*record
}

// record is what an incarnation stated. Book.mutex guards it.
type record struct {
	// leavingAt is when it said last that it leaves, to any node, heardAt to this one;
	// restsUntil is the latest end of its rests, doubtedAt when a statement in doubt was logged
	// last. They are zero for never.
	leavingAt, heardAt, restsUntil, doubtedAt time.Time
	// rate is the limit that it named, in requests a second, zero for none; limitedAt is when it did
	// so last to any node, ownLimitAt to this one, liftedAt when it named none in an answer.
	rate                            float64
	limitedAt, ownLimitAt, liftedAt time.Time
	// window is how many requests that it has not begun to answer it may have after its rest;
	// zero when it may have any number.
	window int
}

const (
	// firstWindow is what a runner may have at once after a rest. As long as it turns nothing
	// away, each answer adds as much as came, so that the window doubles with each round
	// (slow start). In the test with many requests 222 and 226 were turned away with it, 259 and
	// 263 without (means of three runs each).
	firstWindow = 2
	// lastWindow ends that: more requests than a node mostly has at one runner.
	lastWindow = 64
	// returnLimit ends it for a runner that is not used.
	returnLimit = 10 * time.Second
)

// NewBook returns an empty book.
func NewBook(options Options) *Book {
	return &Book{options: options, runners: make(map[string]*record)}
}

// Hear reads the head of a runner's answer. One of 421 is passed over: another runner that
// has the address may have given it.
func (b *Book) Hear(source Source, status int, header http.Header) {
	if b == nil || source.Runner == "" || status == http.StatusMisdirectedRequest {
		return
	}
	statements, problems := read(b.options.Headers, b.options.Limits(), status, header)
	if source.Request != "" && len(header.Values(b.options.Headers.Limit)) == 0 {
		b.lift(source)
	}
	if len(statements)+len(problems) == 0 {
		if source.Request != "" && !turnsAway(status) {
			b.widen(source.Runner)
		}
		return
	}
	if len(problems) > 0 {
		b.doubt(source, status, problems)
	}
	for _, made := range statements {
		b.take(source, made)
	}
}

// doubtPause is the least time between two log lines on one runner's statements in doubt: a
// runner that garbles its answers does so with each.
const doubtPause = time.Second

// doubt counts and logs what could not be taken as it was said.
func (b *Book) doubt(source Source, status int, problems []string) {
	b.count(KindDoubtful)
	now := b.options.Now()
	b.mutex.Lock()
	known := b.recordOf(source.Runner, now)
	log := !within(known.doubtedAt, now, doubtPause)
	if log {
		known.doubtedAt = now
	}
	b.mutex.Unlock()
	if log {
		b.options.Log.Info("runner's statement in doubt", "runner", source.Runner, "request", source.Request, "status", status, "problems", problems)
	}
}

// widen lets a runner that has rested have more at once, as it answered a request.
func (b *Book) widen(runner string) {
	if b.known.Load() == 0 {
		return
	}
	b.mutex.Lock()
	known := b.runners[runner]
	widened := known != nil && known.widen(b.options.Now())
	b.mutex.Unlock()
	if widened && b.options.Widened != nil {
		b.options.Widened()
	}
}

func (b *Book) count(kind Kind) {
	if b.options.Observe != nil {
		b.options.Observe(kind)
	}
}

// take notes a statement and announces it if it is news.
func (b *Book) take(source Source, made Statement) {
	if b.note(source, made) {
		b.announce(source, made)
	}
}

// announce logs news and hands them on.
func (b *Book) announce(source Source, made Statement) {
	switch made := made.(type) {
	case Leaving:
		b.options.Log.Info("runner says that it leaves", "runner", source.Runner, "request", source.Request, "peer", source.Peer)
	case Rest:
		b.options.Log.Info("runner wants rest", "runner", source.Runner, "request", source.Request, "forMs", made.For.Milliseconds())
	case Limit:
		b.options.Log.Info("runner names a limit", "runner", source.Runner, "request", source.Request, "peer", source.Peer, "rate", made.Rate)
	}
	if b.options.News != nil {
		b.options.News(source, made)
	}
}

// note notes a statement and reports whether it is news.
func (b *Book) note(source Source, made Statement) bool {
	now := b.options.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.recordOf(source.Runner, now)
	switch made := made.(type) {
	case Leaving:
		b.count(KindLeaving)
		return known.leave(now, b.options.Limits().LeavingFor)
	case Rest:
		b.count(KindRest)
		return known.rest(now, made.For)
	case Limit:
		b.count(KindLimit)
		known.ownLimitAt = now
		return known.limit(now, made.Rate, b.options.Limits().LimitFor)
	default:
		return false
	}
}

// recordOf returns what a runner stated, which may be nothing yet, and forgets what is over of
// others. mutex is held.
func (b *Book) recordOf(runner string, now time.Time) *record {
	b.sweep(now)
	known := b.runners[runner]
	if known == nil {
		known = &record{}
		b.runners[runner] = known
	}
	b.known.Store(int64(len(b.runners)))
	return known
}

// State is what a runner stated that is still in force.
type State struct {
	// Leaving is set while it is believed to leave.
	Leaving bool
	// Rest is how much longer it wants nothing; zero when it does not rest.
	Rest time.Duration
	// Window is how many requests that it has not begun to answer it may have after its rest;
	// zero when it may have any number.
	Window int
	// Rate is how many requests a second it takes from all nodes together, RateFor how much longer
	// that is believed; zero when it named no limit.
	Rate    float64
	RateFor time.Duration
}

// Of returns what a runner stated that is still in force.
func (b *Book) Of(runner string) State {
	if b == nil || b.known.Load() == 0 {
		return State{}
	}
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	known := b.runners[runner]
	if known == nil {
		return State{}
	}
	now := b.options.Now()
	state := State{Leaving: known.leaves(now, b.options.Limits().LeavingFor), Rest: max(known.restsUntil.Sub(now), 0)}
	if known.returns(now) {
		state.Window = known.window
	}
	if lasting := b.options.Limits().LimitFor; known.limited(now, lasting) {
		state.Rate, state.RateFor = known.rate, known.limitedAt.Add(lasting).Sub(now)
	}
	return state
}

// CountResting returns how many runners want nothing from this node now.
func (b *Book) CountResting() int {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	now, count := b.options.Now(), 0
	for _, known := range b.runners {
		if now.Before(known.restsUntil) {
			count++
		}
	}
	return count
}

// leave notes that the runner leaves, and reports whether that is news.
func (r *record) leave(now time.Time, lasting time.Duration) bool {
	news := !r.leaves(now, lasting)
	r.leavingAt, r.heardAt = now, now
	return news
}

// rest notes a rest, and reports whether the runner did not rest yet. The latest end counts: an
// earlier answer asked for it, and a shorter rest asked for later does not take that back.
func (r *record) rest(now time.Time, lasting time.Duration) bool {
	news := !now.Before(r.restsUntil)
	r.window = firstWindow
	if end := now.Add(lasting); end.After(r.restsUntil) {
		r.restsUntil = end
	}
	return news
}

// returns reports whether the runner has rested and is still given little at once.
func (r *record) returns(now time.Time) bool {
	return r.window > 0 && !now.Before(r.restsUntil) && now.Sub(r.restsUntil) < returnLimit
}

// widen lets the runner have more at once, if it has rested, and reports whether it did so.
func (r *record) widen(now time.Time) bool {
	if !r.returns(now) {
		return false
	}
	r.window++
	if r.window >= lastWindow {
		r.window = 0
	}
	return true
}

// sweep forgets what is over. mutex is held.
func (b *Book) sweep(now time.Time) {
	lasting := b.options.Limits().LeavingFor
	for id, known := range b.runners {
		if !known.leaves(now, lasting) && !known.limited(now, b.options.Limits().LimitFor) && !within(known.liftedAt, now, b.options.Limits().LimitFor) && !now.Before(known.restsUntil) && !known.returns(now) && !within(known.doubtedAt, now, doubtPause) {
			delete(b.runners, id)
		}
	}
}

// leaves reports whether the runner said within the last time that it leaves.
func (r *record) leaves(now time.Time, lasting time.Duration) bool {
	return within(r.leavingAt, now, lasting)
}

// within reports whether a moment, zero for never, lies within the last time.
func within(at, now time.Time, lasting time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < lasting
}
