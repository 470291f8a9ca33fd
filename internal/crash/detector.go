// Package crash distinguishes crashes of runners from mere connection failures: when an answer
// breaks off, it probes whether the runner is still the same process, and reports the requests that
// a crashed runner was running.
package crash

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/poison"
)

const (
	// minProbePause is the pause after the first probe of a runner that neither answers nor
	// refuses connections. Each further pause is twice as long, up to maxProbePause.
	minProbePause = 50 * time.Millisecond
	maxProbePause = 800 * time.Millisecond
	// probeTimeout bounds one probe. A runner answers within a few milliseconds in its region.
	probeTimeout = 400 * time.Millisecond
	// inquiryTimeout is how long a runner is probed. A restarted runner is back within some
	// seconds, and the platform's list drops one that is gone within about as many.
	inquiryTimeout = 10 * time.Second
	// endedRetention is how long an ended runner is remembered, for answers that break off
	// later.
	endedRetention = 30 * time.Second
	// maxPendingRequests bounds the requests kept per runner: more than the slots and the queue
	// of a runner hold.
	maxPendingRequests = 512
)

// Crash describes a runner that ended, with the requests of this node that it was running.
type Crash struct {
	// Runner identifies the incarnation that ended.
	Runner string
	// How describes how the end was detected.
	How      string
	Requests []poison.Identity
	// Contents are when those of Requests ran of which it is known when they were sent, each once.
	Contents []poison.Run
	// Parts are the parts of their prompts that other requests share, each once.
	Parts []poison.Run
}

// Request is a request that a runner was running.
type Request struct {
	// Content identifies it, Parts the parts of its prompt that other requests share.
	Content poison.Identity
	Parts   []poison.Identity
	// Sent is when it was sent to the runner, Trial whether as a trial, see poison.Held.
	Sent  time.Time
	Trial bool
}

// Prober holds the functions that check whether a runner is still there.
type Prober struct {
	// Report fetches the runner's report.
	Report func(ctx context.Context, runner backend.Runner) (backend.Report, error)
	// Connect opens a connection to an address and closes it.
	Connect func(ctx context.Context, address string) error
	// Leaves, if set, reports whether a runner announced in an answer that it leaves. Otherwise
	// only the platform's list shows it.
	Leaves func(runner string) bool
}

// leaves reports whether a runner announced that it leaves, so that its end is planned.
func (p Prober) leaves(runner backend.Runner) bool {
	return runner.Draining || (p.Leaves != nil && p.Leaves(runner.ID))
}

// Detector determines which runners crashed. Its methods may be called concurrently.
type Detector struct {
	prober  Prober
	onCrash func(Crash)
	log     logr.Logger

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mutex sync.Mutex
	// pending holds the open inquiries, ended the runners that ended recently, both by runner.
	pending map[string]*inquiry
	ended   map[string]endedRunner
}

// ProbeMethod is a method to find out whether a runner ended.
type ProbeMethod uint8

// The methods, each more conclusive than the one before.
const (
	// ProbeNone leaves the decision to the platform's list: the answer only took too long.
	ProbeNone ProbeMethod = iota
	// ProbeConnect checks whether the runner accepts connections.
	ProbeConnect
	// ProbeReport requests the runner's report.
	ProbeReport
)

// inquiry is about a runner of which it is unknown whether it ended. Detector.mutex guards it.
type inquiry struct {
	runner   backend.Runner
	requests []interruption
	method   ProbeMethod
	// due is set if the runner is to be probed; wake is signalled when due is set.
	due  bool
	wake chan struct{}
}

// interruption is a request whose answer broke off, or never came.
type interruption struct {
	request Request
	at      time.Time
}

// lastInterruption returns when the last answer broke off.
func (i *inquiry) lastInterruption() time.Time { return i.requests[len(i.requests)-1].at }

// recent returns the requests whose answers broke off within the last inquiryTimeout. Earlier ones
// are not connected with an end of the runner now.
func (i *inquiry) recent() []interruption {
	return slices.DeleteFunc(slices.Clone(i.requests), func(interrupted interruption) bool { return time.Since(interrupted.at) > inquiryTimeout })
}

// newCrash returns the crash of a runner under requests.
func newCrash(runner, how string, interrupted []interruption) Crash {
	c := Crash{Runner: runner, How: how}
	for _, one := range interrupted {
		c.Requests = append(c.Requests, one.request.Content)
		if !one.request.Sent.IsZero() {
			c.Contents = addLatest(c.Contents, one.runOf(one.request.Content))
		}
		for _, part := range one.request.Parts {
			c.Parts = addLatest(c.Parts, one.runOf(part))
		}
	}
	return c
}

// runOf returns the run of the request's content, or of a part of its prompt.
func (i interruption) runOf(identity poison.Identity) poison.Run {
	return poison.Run{Request: identity, Sent: i.request.Sent, Ended: i.at, Trial: i.request.Trial}
}

// addLatest adds a run to those of a runner, of which the one that was sent last is kept for each request.
func addLatest(runs []poison.Run, run poison.Run) []poison.Run {
	at := slices.IndexFunc(runs, func(known poison.Run) bool { return known.Request == run.Request })
	switch {
	case at < 0:
		return append(runs, run)
	case run.Sent.After(runs[at].Sent):
		runs[at] = run
	}
	return runs
}

// endedRunner records how and when the end of a runner was detected.
type endedRunner struct {
	how string
	at  time.Time
}

// NewDetector returns a detector. onCrash is called for each crash with requests of this node,
// possibly several times for one runner, but once for each request.
func NewDetector(prober Prober, onCrash func(Crash), log logr.Logger) *Detector {
	d := &Detector{prober: prober, onCrash: onCrash, log: log, pending: make(map[string]*inquiry), ended: make(map[string]endedRunner)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close cancels all inquiries and waits for them.
func (d *Detector) Close() {
	d.cancel()
	d.wg.Wait()
}

// Interrupted records that the answer to a request from a runner broke off, or never came, and by
// which method to find out whether the runner ended. The end of a runner that leaves is planned
// and is not a crash.
func (d *Detector) Interrupted(runner backend.Runner, request Request, method ProbeMethod) {
	if d.prober.leaves(runner) {
		return
	}
	d.mutex.Lock()
	d.dropExpired()
	interrupted := interruption{request: request, at: time.Now()}
	if past, ended := d.ended[runner.ID]; ended {
		d.mutex.Unlock()
		d.onCrash(newCrash(runner.ID, past.how, []interruption{interrupted}))
		return
	}
	defer d.mutex.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	inq := d.pending[runner.ID]
	if inq == nil {
		inq = &inquiry{runner: runner, wake: make(chan struct{}, 1)}
		d.pending[runner.ID] = inq
		d.wg.Go(func() { d.inquire(inq) })
	}
	if len(inq.requests) == maxPendingRequests {
		inq.requests = inq.requests[1:]
	}
	inq.requests = append(inq.requests, interrupted)
	inq.method = max(inq.method, method)
	if method != ProbeNone {
		inq.due = true
		select {
		case inq.wake <- struct{}{}:
		default:
		}
	}
}

// inquire probes a runner until it is known whether it ended, or until inquiryTimeout has passed
// since the last answer broke off.
func (d *Detector) inquire(inq *inquiry) {
	pause := minProbePause
	for d.ctx.Err() == nil {
		method, due, ok := d.next(inq)
		if !ok {
			return
		}
		if !due {
			// Only another answer that breaks off, or the platform's list, can give more
			// information.
			pause = minProbePause
			d.sleep(inq, maxProbePause)
			continue
		}
		probedAt := time.Now()
		result, how := d.probe(d.ctx, inq.runner, method)
		switch {
		case result == verdictEnded:
			d.recordEnd(inq.runner.ID, how)
			return
		case result == verdictAlive && d.confirmAlive(inq, probedAt):
			return
		case result == verdictUnclear:
			d.markDue(inq)
			d.sleep(inq, pause)
			pause = min(2*pause, maxProbePause)
		}
	}
}

// next returns the next probe of an inquiry; ok is false if the inquiry is over.
func (d *Detector) next(inq *inquiry) (method ProbeMethod, due, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pending[inq.runner.ID] != inq {
		return ProbeNone, false, false
	}
	if time.Since(inq.lastInterruption()) > inquiryTimeout {
		delete(d.pending, inq.runner.ID)
		d.log.V(1).Info("cannot determine whether a runner ended", "runner", inq.runner.ID, "requests", len(inq.requests))
		return ProbeNone, false, false
	}
	due = inq.due
	inq.due = false
	return inq.method, due, true
}

// markDue requests another probe of an inquiry.
func (d *Detector) markDue(inq *inquiry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inq.due = true
}

// sleep waits for the pause, or until another answer breaks off.
func (d *Detector) sleep(inq *inquiry, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-inq.wake:
	case <-timer.C:
	}
}

// The ways in which an end is detected.
const (
	howRefused = "its address refuses connections"
	howOther   = "another runner, or a later incarnation of it, has its address"
	// HowRestarted means that the runner is listed with a later start time.
	HowRestarted = "it started anew"
	// HowUnlisted means that the runner disappeared from the platform's list without announcing
	// it.
	HowUnlisted = "it is not listed any more"
)

// verdict is the result of a probe.
type verdict uint8

const (
	verdictUnclear verdict = iota
	verdictEnded
	verdictAlive
	// verdictAccepts means that a runner that gives no reports accepted a connection. It is either
	// alive or has already restarted, which only the platform's list shows.
	verdictAccepts
)

// probe probes a runner once. how describes how an end was detected.
func (d *Detector) probe(ctx context.Context, runner backend.Runner, method ProbeMethod) (result verdict, how string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var err error
	if method == ProbeReport {
		_, err = d.prober.Report(ctx, runner)
	} else {
		err = d.prober.Connect(ctx, runner.Address)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return verdictEnded, howRefused
	case fault.IsCode(err, fault.CodeNotFound):
		return verdictEnded, howOther
	case err != nil:
		d.log.V(1).Info("probe of a runner unclear", "runner", runner.ID, "error", err.Error())
		return verdictUnclear, ""
	case method == ProbeConnect:
		return verdictAccepts, ""
	default:
		return verdictAlive, ""
	}
}

// confirmAlive closes an inquiry after the runner answered a probe sent at probedAt. It returns
// false if another answer broke off since.
func (d *Detector) confirmAlive(inq *inquiry, probedAt time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if inq.lastInterruption().After(probedAt) {
		return false
	}
	delete(d.pending, inq.runner.ID)
	return true
}

// Refused records that a runner's address refused a connection. That means an end only if an
// answer of the runner broke off before; otherwise the runner may just have too many
// connections.
func (d *Detector) Refused(id string) {
	d.mutex.Lock()
	pending := d.pending[id] != nil
	d.mutex.Unlock()
	if pending {
		d.recordEnd(id, howRefused)
	}
}

// Gone records that a runner is no longer in the platform's list: it was dropped, or a later
// incarnation is listed. The end of a runner that announced that it leaves is planned.
func (d *Detector) Gone(runner backend.Runner, how string) {
	if !d.prober.leaves(runner) {
		d.recordEnd(runner.ID, how)
	}
}

// recordEnd records that a runner ended, and reports the requests that it was running.
func (d *Detector) recordEnd(id, how string) {
	d.mutex.Lock()
	d.dropExpired()
	inq := d.pending[id]
	delete(d.pending, id)
	if _, known := d.ended[id]; !known {
		d.ended[id] = endedRunner{how: how, at: time.Now()}
	}
	d.mutex.Unlock()
	if inq == nil {
		return
	}
	recent := inq.recent()
	if len(recent) == 0 {
		return
	}
	d.log.Info("runner ended under requests", "runner", id, "how", how, "requests", len(recent))
	d.onCrash(newCrash(id, how, recent))
}

// dropExpired removes runners that ended longer than endedRetention ago. mutex is held.
func (d *Detector) dropExpired() {
	for id, past := range d.ended {
		if time.Since(past.at) > endedRetention {
			delete(d.ended, id)
		}
	}
}
