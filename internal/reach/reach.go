// Package reach tracks which runners this node reaches by its own connections, and which only
// through peers. A connection attempt that fails does not tell whether the runner has ended or
// only the path to it is broken; a peer that reaches the runner does.
package reach

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Runner is a runner to connect to.
type Runner struct {
	Name string
	// Address is its ip:port.
	Address string
}

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
	address string
	// connectedAt is when the node last connected to the runner; zero for never.
	connectedAt time.Time
	// failedSince is when the first connection attempt failed after the last one that
	// succeeded, failedAt when the last one failed; zero for none.
	failedSince, failedAt time.Time
	// peerReachedAt is when a peer last connected to the runner for this node, peersFailedAt
	// when peers that were asked last did not reach it; zero for never. peersRefused is set if they
	// were refused.
	peerReachedAt, peersFailedAt time.Time
	peersRefused                 bool
	// usedAt is when a connection was last asked for.
	usedAt time.Time
	// checkedAt is when a check of the path last began.
	checkedAt time.Time
	// retryAt is when the node tries its own path again.
	retryAt time.Time
}

// Way is how to connect to a runner.
type Way uint8

// The ways.
const (
	// Direct is a connection of the node itself. A peer is asked as well if it takes long.
	Direct Way = iota
	// Alone is a connection of the node itself only, as peers did not reach the runner lately
	// either.
	Alone
	// Either is a connection of the node itself or through a peer, whichever is there first.
	Either
	// ViaPeer is a connection through a peer: the path of the node itself is broken.
	ViaPeer
)

const (
	// pathLifetime is how long a path is kept after its last use: longer than runners that
	// ended stay in the platform's list.
	pathLifetime = 30 * time.Second
	// peersFailedLifetime is how long peers are not asked about a runner again that they did
	// not reach.
	peersFailedLifetime = time.Second
	// peerReachedLifetime is how long before a failed attempt a peer may have reached the
	// runner to show that the path of this node is broken: the two attempts overlap.
	peerReachedLifetime = time.Second
	// failedLifetime is how long a failed attempt shows that another one would fail.
	failedLifetime = time.Second
	// recently is the age up to which connections count for whether the node is cut off.
	recently = 3 * time.Second
	// minBroken is how many paths must be broken before the node counts as cut off.
	minBroken = 2
	// retryInterval is the time between two attempts on a broken path, which varies by up to a
	// half so that nodes and runners do not meet in step.
	retryInterval = 600 * time.Millisecond
	// retriedAfterUse is how long after its last use a broken path is tried again.
	retriedAfterUse = 10 * time.Second
)

// New returns a Tracker that knows no path; now is a monotonic clock.
func New(now func() time.Time, log logr.Logger) *Tracker {
	return &Tracker{now: now, log: log, paths: make(map[string]*path)}
}

// Way returns how to connect to a runner now.
func (t *Tracker) Way(runner Runner) (way Way) {
	way = Alone
	t.update(runner, func(p *path) {
		p.usedAt = t.now()
		switch {
		case p.broken():
			way = ViaPeer
		case t.now().Sub(p.peersFailedAt) < peersFailedLifetime:
			way = Alone
		case !p.failedSince.IsZero() || t.cutOff() && t.now().Sub(p.connectedAt) >= recently:
			way = Either
		default:
			way = Direct
		}
	})
	return way
}

// Connected records that the node connected to a runner.
func (t *Tracker) Connected(runner Runner) {
	t.update(runner, func(p *path) {
		if !p.failedSince.IsZero() {
			t.log.Info("runner reached again", "runner", runner.Name, "afterMs", t.now().Sub(p.failedSince).Milliseconds(), "throughPeers", p.broken())
			t.retrySoon()
		}
		*p = path{address: runner.Address, connectedAt: t.now(), usedAt: p.usedAt}
	})
}

// Failed records that a connection attempt to a runner failed.
func (t *Tracker) Failed(runner Runner, cause error) {
	t.update(runner, func(p *path) {
		before := p.broken()
		p.failedAt = t.now()
		if p.failedSince.IsZero() {
			p.failedSince = p.failedAt
			t.log.Info("runner not reached", "runner", runner.Name, "error", cause.Error())
		}
		t.noteBroken(runner, p, before)
	})
}

// PeerConnected records that a peer connected to a runner for this node.
func (t *Tracker) PeerConnected(runner Runner) {
	t.update(runner, func(p *path) {
		before := p.broken()
		p.peerReachedAt = t.now()
		t.noteBroken(runner, p, before)
	})
}

// PeersFailed records that the peers that were asked did not reach a runner either, and whether its
// address refused them.
func (t *Tracker) PeersFailed(runner Runner, refused bool) {
	t.update(runner, func(p *path) {
		p.peerReachedAt, p.peersFailedAt, p.peersRefused = time.Time{}, t.now(), refused
	})
}

// RefusesPeers reports whether a runner's address lately refused connections of peers.
func (t *Tracker) RefusesPeers(runner string) bool {
	return t.check(runner, func(p *path) bool { return p.peersRefused && t.now().Sub(p.peersFailedAt) < peersFailedLifetime })
}

// Fails reports whether the node failed to connect to a runner lately, and did not connect since.
func (t *Tracker) Fails(runner string) bool {
	return t.check(runner, func(p *path) bool { return !p.failedSince.IsZero() && t.now().Sub(p.failedAt) < failedLifetime })
}

// BrokenSince returns since when the path to a runner is broken; false if it is not.
// Connections that the node made to it before may be lost.
func (t *Tracker) BrokenSince(runner string) (since time.Time, broken bool) {
	broken = t.check(runner, func(p *path) bool {
		since = p.failedSince
		return p.broken()
	})
	return since, broken
}

// checkInterval is the time between two checks of a path.
const checkInterval = time.Second

// BeginCheck reports whether to check the path to a runner after a sign that it is broken: not
// if the node connected to the runner or checked the path lately.
func (t *Tracker) BeginCheck(runner Runner) (begun bool) {
	t.update(runner, func(p *path) {
		now := t.now()
		begun = now.Sub(p.connectedAt) >= checkInterval && now.Sub(p.checkedAt) >= checkInterval
		if begun {
			p.checkedAt = now
		}
	})
	return begun
}

// update changes the path to a runner under the lock; a nil Tracker does nothing.
func (t *Tracker) update(runner Runner, change func(p *path)) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(t.path(runner))
}

// check reports whether a condition holds for the path to a runner; false if there is none.
func (t *Tracker) check(runner string, condition func(p *path) bool) bool {
	if t == nil {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.paths[runner]
	return p != nil && condition(p)
}

// noteBroken logs and schedules the next attempt of a path that was just found broken. mutex
// must be held.
func (t *Tracker) noteBroken(runner Runner, p *path, before bool) {
	if before || !p.broken() {
		return
	}
	p.retryAt = t.now().Add(drawInterval())
	t.log.Info("path to runner broken", "runner", runner.Name, "failedMs", t.now().Sub(p.failedSince).Milliseconds(), "cutOff", t.cutOff())
}

// broken reports whether the node does not reach a runner that peers reach.
func (p *path) broken() bool {
	return !p.failedSince.IsZero() && p.peerReachedAt.After(p.failedSince.Add(-peerReachedLifetime))
}

// CutOff reports whether the node itself has lost its links: most of the paths that it tried
// lately are broken.
func (t *Tracker) CutOff() bool {
	if t == nil {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.cutOff()
}

// cutOff implements CutOff. Connections made before the paths broke say nothing. mutex must be held.
func (t *Tracker) cutOff() bool {
	broken := 0
	begun := t.now()
	for _, p := range t.paths {
		if p.broken() {
			broken++
			begun = earlier(begun, p.failedSince)
		}
	}
	if broken < minBroken {
		return false
	}
	sound := 0
	for _, p := range t.paths {
		if p.failedSince.IsZero() && p.connectedAt.After(begun) && t.now().Sub(p.connectedAt) < recently {
			sound++
		}
	}
	return broken > sound
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TakeDue returns at most count runners whose broken paths are to be tried now.
func (t *Tracker) TakeDue(count int) []Runner {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	var due []Runner
	for name, p := range t.paths {
		if len(due) == count {
			break
		}
		if p.broken() && !now.Before(p.retryAt) && now.Sub(p.usedAt) < retriedAfterUse {
			p.retryAt = now.Add(drawInterval())
			due = append(due, Runner{Name: name, Address: p.address})
		}
	}
	return due
}

// retrySoon makes the node try the other broken paths soon, as the links may work again.
// mutex must be held.
func (t *Tracker) retrySoon() {
	for _, p := range t.paths {
		if soon := t.now().Add(drawInterval() / 2); p.broken() && p.retryAt.After(soon) {
			p.retryAt = soon
		}
	}
}

func drawInterval() time.Duration { return retryInterval/2 + rand.N(retryInterval) }

// Figures are the numbers of runners that this node tried to connect to lately.
type Figures struct {
	// Reached are those that it reaches, Unreached those that it does not; Broken are those
	// of Unreached that peers reach.
	Reached, Unreached, Broken int
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
		switch {
		case !p.failedSince.IsZero():
			figures.Unreached++
		case !p.connectedAt.IsZero():
			figures.Reached++
		}
		if p.broken() {
			figures.Broken++
		}
	}
	return figures
}

// path returns the path to a runner. mutex must be held.
func (t *Tracker) path(runner Runner) *path {
	known := t.paths[runner.Name]
	if known == nil {
		t.forgetUnused()
		known = &path{}
		t.paths[runner.Name] = known
	}
	known.address = runner.Address
	return known
}

// forgetUnused drops the paths that were not used for pathLifetime. mutex must be held.
func (t *Tracker) forgetUnused() {
	for runner, p := range t.paths {
		if t.now().Sub(p.lastTry()) > pathLifetime && t.now().Sub(p.usedAt) > pathLifetime {
			delete(t.paths, runner)
		}
	}
}

// lastTry is when the node last tried the path itself.
func (p *path) lastTry() time.Time {
	if p.failedAt.After(p.connectedAt) {
		return p.failedAt
	}
	return p.connectedAt
}
