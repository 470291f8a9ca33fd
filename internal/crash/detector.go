// Package crash tells runners that ended under their requests from connections that broke:
// it asks a runner whose answer broke off whether it is still the process that it was.
package crash

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/poison"
)

const (
	// firstPause lies between the first two questions to a runner that neither answers nor
	// refuses connections; each further pause is twice as long, up to longestPause.
	firstPause   = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// questionTimeout bounds one question: a runner answers within some ms in its region.
	questionTimeout = 400 * time.Millisecond
	// inquiryLimit is how long it is asked: one that is restarted is back within some
	// seconds, and the platform's list drops one that is gone within about as many.
	inquiryLimit = 10 * time.Second
	// remembered is how long an ended runner is known, for answers that break off later.
	remembered = 30 * time.Second
	// mostPending bounds the requests kept for one runner: more than a runner's slots and
	// queue hold.
	mostPending = 512
)

// Crash is a runner that ended, and the requests of this node that were there.
type Crash struct {
	// Runner identifies the incarnation that ended.
	Runner string
	// How is the sign by which it was known.
	How      string
	Requests []poison.Identity
}

// Ask are the ways to ask a runner whether it is there.
type Ask struct {
	// Report reads its report.
	Report func(ctx context.Context, runner backend.Runner) (backend.Report, error)
	// Connect makes a connection to an address and closes it.
	Connect func(ctx context.Context, address string) error
	// Leaves reports whether a runner said in an answer that it leaves; not set where only
	// the platform's list tells.
	Leaves func(runner string) bool
}

// leaves reports whether a runner said that it leaves: it ends by plan then.
func (a Ask) leaves(runner backend.Runner) bool {
	return runner.Draining || (a.Leaves != nil && a.Leaves(runner.ID))
}

// Detector finds out which runners ended. Its methods may be called concurrently.
type Detector struct {
	asking Ask
	ended  func(Crash)
	log    logr.Logger

	ctx  context.Context
	end  context.CancelFunc
	work sync.WaitGroup

	mutex sync.Mutex
	// pending and known are by runner; known are those that ended lately.
	pending map[string]*inquiry
	known   map[string]pastRunner
}

// Way is how to find out whether a runner ended.
type Way uint8

// The ways, each tells more than the one before.
const (
	// Wait leaves it to the platform's list: the answer only took too long.
	Wait Way = iota
	// Connect tries whether the runner accepts connections.
	Connect
	// Report asks for its report.
	Report
)

// inquiry is a runner of which it is not known yet whether it ended. Detector.mutex guards it.
type inquiry struct {
	runner   backend.Runner
	requests []brokenRequest
	way      Way
	// due is set while the runner is to be asked, wake is signalled as it becomes so.
	due  bool
	wake chan struct{}
}

// brokenRequest is a request whose answer broke off.
type brokenRequest struct {
	request poison.Identity
	at      time.Time
}

// last is when the last answer broke off.
func (i *inquiry) last() time.Time { return i.requests[len(i.requests)-1].at }

// fresh are the requests whose answers broke off within inquiryLimit: what broke off earlier
// has no part in an end now.
func (i *inquiry) fresh() []poison.Identity {
	var requests []poison.Identity
	for _, broken := range i.requests {
		if time.Since(broken.at) <= inquiryLimit {
			requests = append(requests, broken.request)
		}
	}
	return requests
}

type pastRunner struct {
	how string
	at  time.Time
}

// NewDetector returns a detector. ended is told each crash under requests of this node,
// possibly several times for one runner, each request once.
func NewDetector(asking Ask, ended func(Crash), log logr.Logger) *Detector {
	d := &Detector{asking: asking, ended: ended, log: log, pending: make(map[string]*inquiry), known: make(map[string]pastRunner)}
	d.ctx, d.end = context.WithCancel(context.Background())
	return d
}

// Close ends all inquiries and waits for them.
func (d *Detector) Close() {
	d.end()
	d.work.Wait()
}

// Broke notes that the answer to a request broke off, or never came, at a runner, and how to
// find out whether that ended. One that leaves ends by plan, which is no crash.
func (d *Detector) Broke(runner backend.Runner, request poison.Identity, way Way) {
	if d.asking.leaves(runner) {
		return
	}
	d.mutex.Lock()
	d.forget()
	if past, ended := d.known[runner.ID]; ended {
		d.mutex.Unlock()
		d.ended(Crash{Runner: runner.ID, How: past.how, Requests: []poison.Identity{request}})
		return
	}
	defer d.mutex.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	open := d.pending[runner.ID]
	if open == nil {
		open = &inquiry{runner: runner, wake: make(chan struct{}, 1)}
		d.pending[runner.ID] = open
		d.work.Go(func() { d.inquire(open) })
	}
	if len(open.requests) == mostPending {
		open.requests = open.requests[1:]
	}
	open.requests = append(open.requests, brokenRequest{request: request, at: time.Now()})
	open.way = max(open.way, way)
	if way != Wait {
		open.due = true
		select {
		case open.wake <- struct{}{}:
		default:
		}
	}
}

// inquire asks a runner until it is known whether it ended, or for inquiryLimit after the
// last answer that broke off.
func (d *Detector) inquire(open *inquiry) {
	pause := firstPause
	for d.ctx.Err() == nil {
		way, due, ok := d.next(open)
		if !ok {
			return
		}
		if !due {
			// Only a further answer that breaks off, or the platform's list, tells more.
			pause = firstPause
			d.rest(open, longestPause)
			continue
		}
		asked := time.Now()
		answered, how := d.ask(d.ctx, open.runner, way)
		switch {
		case answered == ended:
			d.noteEnd(open.runner.ID, how)
			return
		case answered == lives && d.lives(open, asked):
			return
		case answered == unclear:
			d.askAgain(open)
			d.rest(open, pause)
			pause = min(2*pause, longestPause)
		}
	}
}

// next returns what to do about an inquiry; false when it is over.
func (d *Detector) next(open *inquiry) (way Way, due, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pending[open.runner.ID] != open {
		return Wait, false, false
	}
	if time.Since(open.last()) > inquiryLimit {
		delete(d.pending, open.runner.ID)
		d.log.V(1).Info("not known whether a runner ended", "runner", open.runner.ID, "requests", len(open.requests))
		return Wait, false, false
	}
	due = open.due
	open.due = false
	return open.way, due, true
}

func (d *Detector) askAgain(open *inquiry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	open.due = true
}

// rest waits for a pause, or until another answer breaks off.
func (d *Detector) rest(open *inquiry, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-open.wake:
	case <-timer.C:
	}
}

// The signs of a runner that ended.
const (
	howRefused = "its address refuses connections"
	howOther   = "another runner, or a later incarnation of it, has its address"
	// HowBorn is that of a runner that is listed with a later start.
	HowBorn = "it started anew"
	// HowGone is that of a runner that left the platform's list without a word.
	HowGone = "it is not listed any more"
)

// verdict is what an answer of a runner tells.
type verdict uint8

const (
	unclear verdict = iota
	ended
	lives
	// accepts is a connection to a runner that tells no reports: it lives, or started anew
	// already, which only the platform's list tells.
	accepts
)

// ask asks a runner once. how is the sign that it ended.
func (d *Detector) ask(ctx context.Context, runner backend.Runner, way Way) (answered verdict, how string) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var err error
	if way == Report {
		_, err = d.asking.Report(ctx, runner)
	} else {
		err = d.asking.Connect(ctx, runner.Address)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ended, howRefused
	case fault.IsCode(err, fault.CodeNotFound):
		return ended, howOther
	case err != nil:
		return unclear, ""
	case way == Connect:
		return accepts, ""
	default:
		return lives, ""
	}
}

// lives notes that a runner answered a question sent then; false when another answer broke
// off since.
func (d *Detector) lives(open *inquiry, asked time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if open.last().After(asked) {
		return false
	}
	delete(d.pending, open.runner.ID)
	return true
}

// Refused notes that a runner's address refused a connection: it ended, if an answer of it
// broke off before. Alone it may only have too many connections.
func (d *Detector) Refused(id string) {
	d.mutex.Lock()
	open := d.pending[id] != nil
	d.mutex.Unlock()
	if open {
		d.noteEnd(id, howRefused)
	}
}

// Gone notes that the platform's list does not tell of a runner any more: it was dropped, or
// a later incarnation is listed. One that said that it leaves ended by plan.
func (d *Detector) Gone(runner backend.Runner, how string) {
	if !d.asking.leaves(runner) {
		d.noteEnd(runner.ID, how)
	}
}

// noteEnd notes that a runner ended, and tells of the requests that were there.
func (d *Detector) noteEnd(id, how string) {
	d.mutex.Lock()
	d.forget()
	open := d.pending[id]
	delete(d.pending, id)
	if _, known := d.known[id]; !known {
		d.known[id] = pastRunner{how: how, at: time.Now()}
	}
	d.mutex.Unlock()
	if open == nil {
		return
	}
	requests := open.fresh()
	if len(requests) == 0 {
		return
	}
	d.log.Info("runner ended under requests", "runner", id, "how", how, "requests", len(requests))
	d.ended(Crash{Runner: id, How: how, Requests: requests})
}

// forget drops runners that ended long ago. mutex is held.
func (d *Detector) forget() {
	for id, past := range d.known {
		if time.Since(past.at) > remembered {
			delete(d.known, id)
		}
	}
}
