// Package reach tracks which runners this node reaches by its own connections. A connection
// attempt that fails does not tell whether the runner has ended or only the path to it is
// broken; what peers reach does.
package reach

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Tracker tracks the paths from this node to runners. Its methods may be called
// concurrently; a nil Tracker tracks nothing.
type Tracker struct {
	now func() time.Time
	log logr.Logger

	mutex sync.Mutex
	// paths maps the names of runners to the paths to them.
	paths map[string]*path
}

// path is what is known of the way from this node to one runner. Tracker.mutex guards it.
type path struct {
	// connectedAt is when the node last connected to the runner; zero for never.
	connectedAt time.Time
	// failedSince is when the first connection attempt failed after the last one that
	// succeeded, failedAt when the last one failed; zero for none.
	failedSince, failedAt time.Time
}

// New returns a Tracker that knows no path; now is a monotonic clock.
func New(now func() time.Time, log logr.Logger) *Tracker {
	return &Tracker{now: now, log: log, paths: make(map[string]*path)}
}

// pathLifetime is how long a path is kept after its last use: longer than runners that ended
// stay in the platform's list.
const pathLifetime = 30 * time.Second

// Connected records that the node connected to a runner.
func (t *Tracker) Connected(runner string) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.path(runner)
	if !p.failedSince.IsZero() {
		t.log.Info("runner reached again", "runner", runner, "afterMs", t.now().Sub(p.failedSince).Milliseconds())
	}
	*p = path{connectedAt: t.now()}
}

// Failed records that a connection attempt to a runner failed.
func (t *Tracker) Failed(runner string, cause error) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.path(runner)
	p.failedAt = t.now()
	if p.failedSince.IsZero() {
		p.failedSince = p.failedAt
		t.log.Info("runner not reached", "runner", runner, "error", cause.Error())
	}
}

// Figures are the numbers of runners that this node tried to connect to lately.
type Figures struct {
	// Reached are those that it reaches, Unreached those that it does not.
	Reached, Unreached int
}

// Figures returns the current figures.
func (t *Tracker) Figures() Figures {
	if t == nil {
		return Figures{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forgetUnused()
	var figures Figures
	for _, p := range t.paths {
		if p.failedSince.IsZero() {
			figures.Reached++
		} else {
			figures.Unreached++
		}
	}
	return figures
}

// path returns the path to a runner. mutex must be held.
func (t *Tracker) path(runner string) *path {
	known := t.paths[runner]
	if known == nil {
		t.forgetUnused()
		known = &path{}
		t.paths[runner] = known
	}
	return known
}

// forgetUnused drops the paths that were not used for pathLifetime. mutex must be held.
func (t *Tracker) forgetUnused() {
	for runner, p := range t.paths {
		if t.now().Sub(p.lastUse()) > pathLifetime {
			delete(t.paths, runner)
		}
	}
}

// lastUse is when the path was last tried.
func (p *path) lastUse() time.Time {
	if p.failedAt.After(p.connectedAt) {
		return p.failedAt
	}
	return p.connectedAt
}
