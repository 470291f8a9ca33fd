package request

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

const (
	minimumRetry    = time.Second
	defaultService  = time.Second
	smoothing       = 0.2
	stepQueue       = "queue"
	stepAdmission   = "admission"
	statusStaleness = 60 * time.Second
)

// Throttler queues the requests for one unit at this node and hands them places
// on ready replicas, the most pressing class first. It is safe for concurrent
// use; its mutex guards all fields.
type Throttler struct {
	unit   string
	region string
	mutex  sync.Mutex

	targets   map[string]*target
	waiting   queue
	arrivals  uint64
	reason    string
	statusAt  time.Time
	lastUsed  time.Time
	loadTime  time.Duration
	service   time.Duration
	coldSince time.Time
	demand    chan struct{}
	// doubted are runners that refused a request since the last report.
	doubted map[string]struct{}
	timer   *time.Timer
}

func newThrottler(unit, region string, loadTime time.Duration) *Throttler {
	return &Throttler{
		unit: unit, region: region, targets: make(map[string]*target), loadTime: loadTime, service: defaultService,
		demand: make(chan struct{}, 1), doubted: make(map[string]struct{}), lastUsed: time.Now(),
	}
}

// Place is the right to send one request to a replica.
type Place struct {
	throttler *Throttler
	target    *target
	taken     time.Time
	Replica   wire.Replica
}

// Ask is what a request wants from a throttler.
type Ask struct {
	Class    api.Class
	Deadline time.Time
	Prefix   string
	// Avoid names a runner that just refused the request.
	Avoid string
}

// Acquire waits for a place on a ready replica. It fails at once when the
// deadline cannot be met, when the queue of the class is full, or when the unit
// cannot have a replica; all of these mean that the request was not run.
func (t *Throttler) Acquire(ctx context.Context, ask Ask) (*Place, error) {
	t.mutex.Lock()
	t.lastUsed = time.Now()
	if err := t.admit(ask); err != nil {
		t.mutex.Unlock()
		return nil, err
	}
	t.arrivals++
	w := &waiter{
		class: ask.Class, arrival: t.arrivals, deadline: ask.Deadline, prefix: ask.Prefix, avoid: ask.Avoid,
		granted: make(chan grantedTarget, 1), position: -1,
	}
	t.waiting.add(w)
	t.dispatch()
	t.mutex.Unlock()
	t.nudge()
	return t.await(ctx, w)
}

func (t *Throttler) await(ctx context.Context, w *waiter) (*Place, error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	var failure error
	select {
	case granted := <-w.granted:
		return t.place(granted)
	case <-ctx.Done():
		failure = fault.New(fault.CodeCanceled, stepQueue, "the caller went away")
	case <-timer.C:
		failure = fault.New(fault.CodeDeadline, stepQueue, "the deadline passed while waiting%s", t.why()).WithRetryAfter(t.ComeBack())
	}
	t.mutex.Lock()
	stillWaiting := t.waiting.remove(w)
	t.mutex.Unlock()
	if stillWaiting {
		return nil, failure
	}
	granted := <-w.granted
	if place, err := t.place(granted); err == nil {
		place.Release(false)
	}
	return nil, failure
}

func (t *Throttler) place(granted grantedTarget) (*Place, error) {
	if granted.err != nil {
		return nil, granted.err
	}
	return &Place{throttler: t, target: granted.target, taken: time.Now(), Replica: granted.replica}, nil
}

// admit is called with the mutex held.
func (t *Throttler) admit(ask Ask) error {
	if t.waiting.full(ask.Class) {
		return fault.New(fault.CodeQueueFull, stepAdmission, "%d %s requests wait for %s", t.waiting.counts[ask.Class], ask.Class, t.unit).WithRetryAfter(t.estimate(ask.Class))
	}
	estimate := t.estimate(ask.Class)
	if time.Now().Add(estimate).After(ask.Deadline) {
		return fault.New(fault.CodeDeadline, stepAdmission, "%s is expected to answer in %s", t.unit, estimate.Round(time.Millisecond)).WithRetryAfter(max(estimate, minimumRetry))
	}
	return nil
}

// estimate is the expected wait of a new request of a class. It is called with
// the mutex held.
func (t *Throttler) estimate(class api.Class) time.Duration {
	slots := 0
	free := 0
	soonest := time.Duration(-1)
	now := time.Now()
	for _, target := range t.targets {
		switch target.replica.State {
		case wire.ReplicaReady:
			slots += max(1, target.replica.Slots)
			free += max(0, target.replica.Slots-target.load())
			soonest = 0
		case wire.ReplicaLoading:
			rest := max(0, time.Duration(target.replica.ReadyIn)*time.Millisecond-now.Sub(t.statusAt))
			if soonest < 0 || rest < soonest {
				soonest = rest
			}
		}
	}
	if soonest < 0 {
		soonest = t.coldEstimate(now)
	}
	ahead := t.waiting.ahead(class) - free
	if ahead <= 0 || slots == 0 {
		return soonest
	}
	return soonest + time.Duration(ahead)*t.service/time.Duration(slots)
}

// coldEstimate is the learned load time, less what has passed since the load is
// likely to have begun. It is called with the mutex held.
func (t *Throttler) coldEstimate(now time.Time) time.Duration {
	if t.coldSince.IsZero() || t.waiting.Len() == 0 {
		return t.loadTime
	}
	return max(0, t.loadTime-now.Sub(t.coldSince))
}

// why is what the coordinator said of a unit that has no replica, for refusals.
func (t *Throttler) why() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.reason == "" {
		return ""
	}
	return ": " + t.reason
}

// ComeBack tells a refused caller when to come back.
func (t *Throttler) ComeBack() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(minimumRetry, t.estimate(api.ClassOrdinary))
}

// dispatch hands places to waiters. It is called with the mutex held.
func (t *Throttler) dispatch() {
	now := time.Now()
	for {
		w := t.waiting.first()
		if w == nil {
			t.coldSince = time.Time{}
			return
		}
		chosen := choose(t.usable(now, w.avoid), w.prefix, rand.IntN(1<<16), rand.IntN(1<<16))
		if chosen == nil {
			if t.coldSince.IsZero() && !t.anyReady() {
				t.coldSince = now
			}
			return
		}
		t.waiting.remove(w)
		chosen.inFlight++
		w.granted <- grantedTarget{target: chosen, replica: chosen.replica}
	}
}

func (t *Throttler) anyReady() bool {
	for _, target := range t.targets {
		if target.replica.State == wire.ReplicaReady {
			return true
		}
	}
	return false
}

// usable returns the targets that take a request now: those of the own region,
// else those of others, else the one to avoid.
func (t *Throttler) usable(now time.Time, avoid string) []*target {
	var near, far, avoided []*target
	for _, target := range t.targets {
		switch {
		case !target.usable(now):
		case target.replica.Runner == avoid:
			avoided = append(avoided, target)
		case target.replica.Region == t.region:
			near = append(near, target)
		default:
			far = append(far, target)
		}
	}
	for _, targets := range [][]*target{near, far, avoided} {
		if len(targets) > 0 {
			return targets
		}
	}
	return nil
}

// Update takes a status from the unit's coordinator.
func (t *Throttler) Update(status wire.UnitStatus) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	wasReady := t.anyReady()
	t.reason = status.Reason
	clear(t.doubted)
	t.statusAt = now
	present := make(map[string]struct{}, len(status.Replicas))
	for _, replica := range status.Replicas {
		present[replica.Runner] = struct{}{}
		known, ok := t.targets[replica.Runner]
		if !ok || known.replica.Incarnation != replica.Incarnation {
			known = &target{}
			t.targets[replica.Runner] = known
		}
		known.replica = replica
		known.atReport = min(known.inFlight, replica.Active)
	}
	for runner := range t.targets {
		if _, stays := present[runner]; !stays {
			delete(t.targets, runner)
		}
	}
	if !wasReady && t.anyReady() && !t.coldSince.IsZero() {
		t.learnLoad(now.Sub(t.coldSince))
	}
	t.refuseHopeless(now)
	t.dispatch()
}

func (t *Throttler) learnLoad(took time.Duration) {
	t.loadTime = time.Duration((1-smoothing)*float64(t.loadTime) + smoothing*float64(took))
	t.coldSince = time.Time{}
}

// refuseHopeless gives waiters whose deadline cannot be met any more their final
// answer at once. It is called with the mutex held.
func (t *Throttler) refuseHopeless(now time.Time) {
	if t.anyReady() {
		return
	}
	soonest := t.soonestLoad(now)
	if soonest < 0 {
		return
	}
	for _, w := range append([]*waiter(nil), t.waiting.waiters...) {
		if now.Add(soonest).Before(w.deadline) {
			continue
		}
		t.waiting.remove(w)
		w.granted <- grantedTarget{err: fault.New(fault.CodeDeadline, stepQueue, "%s is ready in %s, after the deadline", t.unit, soonest).WithRetryAfter(max(soonest, minimumRetry))}
	}
}

// soonestLoad is the shortest rest of a load under way, -1 if there is none.
func (t *Throttler) soonestLoad(now time.Time) time.Duration {
	soonest := time.Duration(-1)
	for _, target := range t.targets {
		if target.replica.State != wire.ReplicaLoading || target.replica.ReadyIn == 0 {
			continue
		}
		rest := max(0, time.Duration(target.replica.ReadyIn)*time.Millisecond-now.Sub(t.statusAt))
		if soonest < 0 || rest < soonest {
			soonest = rest
		}
	}
	return soonest
}

// refuseAll gives every waiter its final answer.
func (t *Throttler) refuseAll(refusal *fault.Error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, w := range append([]*waiter(nil), t.waiting.waiters...) {
		t.waiting.remove(w)
		w.granted <- grantedTarget{err: refusal}
	}
}

// Release gives a place back. Served tells whether the request ran to its end.
func (p *Place) Release(served bool) {
	t := p.throttler
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p.target.inFlight--
	t.lastUsed = time.Now()
	if served {
		p.target.refusals = 0
		took := time.Since(p.taken)
		t.service = time.Duration((1-smoothing)*float64(t.service) + smoothing*float64(took))
	}
	t.dispatch()
}

// Heard takes the number of running requests that the runner's answer carried.
func (p *Place) Heard(active int) {
	t := p.throttler
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p.target.replica.Active = active
	p.target.atReport = p.target.inFlight
}

// Refused takes the runner's statement that it did not run the request.
func (p *Place) Refused(code fault.Code) {
	t := p.throttler
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dispatchLater(p.target.refuse(time.Now()))
	if code != fault.CodeOverloaded {
		t.doubted[p.target.replica.Runner] = struct{}{}
	}
	switch code {
	case fault.CodeOverloaded:
	case fault.CodeDraining:
		p.target.replica.State = wire.ReplicaDraining
	case fault.CodeNotLoaded:
		p.target.replica.State = wire.ReplicaSleeping
	default:
		p.target.replica.State = wire.ReplicaUnreachable
	}
}

// dispatchLater tries again when a pause ends. It is called with the mutex held.
func (t *Throttler) dispatchLater(pause time.Duration) {
	t.timer = time.AfterFunc(pause+time.Millisecond, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.dispatch()
	})
}

// nudge asks for a demand report soon.
func (t *Throttler) nudge() {
	select {
	case t.demand <- struct{}{}:
	default:
	}
}

// report describes what waits here.
func (t *Throttler) report(node, address string, revision uint64) wire.DemandReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	report := wire.DemandReport{Unit: t.unit, Node: node, Address: address, Revision: revision, Waiting: t.waiting.counts}
	for _, target := range t.targets {
		report.Active += target.inFlight
	}
	for runner := range t.doubted {
		if len(report.Doubted) < wire.MaximumStatus {
			report.Doubted = append(report.Doubted, runner)
		}
	}
	if first := t.waiting.first(); first != nil {
		report.Deadline = time.Until(first.deadline).Milliseconds()
	}
	return report
}

// idle tells whether the unit was not used for a while.
func (t *Throttler) idle(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.waiting.Len() > 0 {
		return false
	}
	for _, target := range t.targets {
		if target.inFlight > 0 {
			return false
		}
	}
	return now.Sub(t.lastUsed) > statusStaleness
}

// Ready tells whether a replica is known to be ready.
func (t *Throttler) Ready() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.anyReady()
}

// pending returns the number of waiting requests and whether none can be served
// now.
func (t *Throttler) pending() (int, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.waiting.Len(), !t.anyReady()
}
