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
	KindDoubtful Kind = "doubtful"
)

// Source says whose answer a statement stood in.
type Source struct {
	// Runner identifies the incarnation that answered; empty where it is not known, and the
	// answer is not heard.
	Runner string
	// Request is the request that was answered; empty for a question or an order of the node.
	Request string
}

// Options of a book.
type Options struct {
	// LeavingHeader is the name of the header in which runners say that they leave.
	LeavingHeader string
	// Limits returns those in force.
	Limits func() Limits
	// Now reads a clock that goes on while the machine is suspended: rests end meanwhile.
	Now func() time.Time
	Log logr.Logger
	// Observe is told of each statement; not set where nobody counts.
	Observe func(Kind)
}

// Book remembers the statements of runners. Its methods may be called concurrently; a nil Book
// hears and knows nothing.
type Book struct {
	options Options
	// known is how many runners there are in runners, so that nobody locks for nothing.
	known atomic.Int64

	mutex   sync.RWMutex
	runners map[string]*told
}

// told is what an incarnation stated. Book.mutex guards it.
type told struct {
	// leavingAt is when it said last that it leaves, restsUntil the latest end of its rests;
	// zero for never.
	leavingAt  time.Time
	restsUntil time.Time
}

// NewBook returns an empty book.
func NewBook(options Options) *Book {
	return &Book{options: options, runners: make(map[string]*told)}
}

// Hear reads the head of a runner's answer. One of 421 is passed over: another runner that
// has the address may have given it.
func (b *Book) Hear(source Source, status int, header http.Header) {
	if b == nil || source.Runner == "" || status == http.StatusMisdirectedRequest {
		return
	}
	statements, problems := read(b.options.LeavingHeader, b.options.Limits(), status, header)
	if len(statements)+len(problems) == 0 {
		return
	}
	for _, problem := range problems {
		b.count(KindDoubtful)
		b.options.Log.Info("runner's statement in doubt", "runner", source.Runner, "request", source.Request, "status", status, "problem", problem)
	}
	for _, made := range statements {
		b.take(source, made)
	}
}

func (b *Book) count(kind Kind) {
	if b.options.Observe != nil {
		b.options.Observe(kind)
	}
}

// take notes a statement.
func (b *Book) take(source Source, made Statement) {
	now := b.options.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	known := b.runners[source.Runner]
	if known == nil {
		known = &told{}
		b.runners[source.Runner] = known
	}
	b.known.Store(int64(len(b.runners)))
	switch made := made.(type) {
	case Leaving:
		b.takeLeaving(source, known, now)
	case Rest:
		b.takeRest(source, known, made, now)
	}
}

// takeLeaving notes that a runner leaves. mutex is held.
func (b *Book) takeLeaving(source Source, known *told, now time.Time) {
	if known.leavingAt.IsZero() {
		b.count(KindLeaving)
		b.options.Log.Info("runner says that it leaves", "runner", source.Runner, "request", source.Request)
	}
	known.leavingAt = now
}

// takeRest notes a rest. The latest end counts: an earlier answer asked for it, and a shorter
// rest asked for later does not take that back. mutex is held.
func (b *Book) takeRest(source Source, known *told, rest Rest, now time.Time) {
	b.count(KindRest)
	if !now.Before(known.restsUntil) {
		b.options.Log.Info("runner wants rest", "runner", source.Runner, "request", source.Request, "forMs", rest.For.Milliseconds())
	}
	if end := now.Add(rest.For); end.After(known.restsUntil) {
		known.restsUntil = end
	}
}

// sweep forgets what is over. mutex is held.
func (b *Book) sweep(now time.Time) {
	lasting := b.options.Limits().LeavingFor
	for id, known := range b.runners {
		if !known.leaves(now, lasting) && !now.Before(known.restsUntil) {
			delete(b.runners, id)
		}
	}
}

// leaves reports whether the runner said within the last time that it leaves.
func (t *told) leaves(now time.Time, lasting time.Duration) bool {
	return !t.leavingAt.IsZero() && now.Sub(t.leavingAt) < lasting
}
