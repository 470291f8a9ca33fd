package fleet

import (
	"time"

	"lilacvane/internal/backend"
)

// A brittle runner ends if it rejects more requests within a second than it stated, from all nodes
// together. A request may be rejected until the runner begins its answer, so each node bounds the
// requests that have no answer yet and those that were rejected lately by its part of that number.
// Where the part is less than one, the node needs a permit, as for runners that stated a limit.
// Neither applies to what the runner has free slots for, nor, where nobody lends permits, to one
// request at a time of a node at a runner that had few requests and rejected none.

const (
	// rejectionWindow is the time for which a rejection counts: the second of the runner, and the
	// time by which it may be read late.
	rejectionWindow = 1250 * time.Millisecond
	// usedRejections is the part of the stated number that the nodes use: their number changes
	// before all of them know.
	usedRejections = 0.75
	// usedRoom is the part of the free slots that the nodes use, as each sees them some time later.
	usedRoom = 0.75
	// roomLifetime is how long a reported load shows that a runner has room.
	roomLifetime = 500 * time.Millisecond
	// calmLifetime is how long a rejection, or a reported load, shows that a runner is not calm.
	calmLifetime = 3 * time.Second
	// serviceBrittleLifetime is how long the statements of a service's runners are looked up for
	// those that stated nothing yet.
	serviceBrittleLifetime = 100 * time.Millisecond
	// leastBrittleRate is the rate of permits, in requests per second, at a runner that endures less:
	// some request must find out when it is brittle no more.
	leastBrittleRate = 0.1
	// waitersPerPart is how many requests may wait for each that a brittle runner may have at once:
	// most answers begin within a small part of a request's time.
	waitersPerPart = 8
)

// brittleness is what is known of the brittle runners of a service.
type brittleness struct {
	// brittle is set if a runner stated that it is; rejections is the least number stated.
	brittle    bool
	rejections float64
	at         time.Time
}

// SetNodes sets how many nodes send requests to the runners.
func (f *Fleet) SetNodes(nodes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = nodes
}

// assumedNodes is how many nodes are assumed until the number is known.
const assumedNodes = 16

// Nodes returns how many nodes send requests to the runners, or assumedNodes until it is known.
func (f *Fleet) Nodes() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodeCount()
}

// nodeCount is Nodes; mutex must be held.
func (f *Fleet) nodeCount() int {
	if f.nodes == 0 {
		return assumedNodes
	}
	return f.nodes
}

// rejectionPart returns how many rejections of a brittle runner within a second are this node's
// part. One that stated nothing yet, as it has just started, counts as brittle while others of its
// service are. mutex must be held.
func (f *Fleet) rejectionPart(known *runner) (part float64, brittle bool) {
	if f.statements.Empty() {
		return 0, false
	}
	stated := f.statements.State(known.listed.ID)
	rejections := stated.Rejections
	if !stated.Brittle {
		service := f.serviceBrittleness(known.listed.Service)
		if !service.brittle || !known.answeredAt.IsZero() {
			return 0, false
		}
		rejections = service.rejections
	}
	return rejections * usedRejections / float64(f.nodeCount()), true
}

// serviceBrittleness returns what the runners of a service stated. mutex must be held.
func (f *Fleet) serviceBrittleness(service string) brittleness {
	if cached, ok := f.brittleServices[service]; ok && f.now().Sub(cached.at) < serviceBrittleLifetime {
		return cached
	}
	found := brittleness{at: f.now()}
	for id, known := range f.runners {
		if known.listed.Service != service {
			continue
		}
		stated := f.statements.State(id)
		if stated.Brittle && (!found.brittle || stated.Rejections < found.rejections) {
			found.brittle, found.rejections = true, stated.Rejections
		}
	}
	f.brittleServices[service] = found
	return found
}

// atRejectionPart reports whether a brittle runner may get nothing more from this node until it has
// begun an answer or a rejection is forgotten. mutex must be held.
func (f *Fleet) atRejectionPart(known *runner) bool {
	part, brittle := f.rejectionPart(known)
	if !brittle || f.isSafe(known) {
		return false
	}
	held := known.unanswered+known.recentRejections(f.now()) >= max(int(part), 1)
	known.heldBack = known.heldBack || held
	return held
}

// brittleRate returns the rate, in requests per second, for which this node needs permits at a
// brittle runner of whose number its part is less than one; zero if it needs none. mutex must be
// held.
func (f *Fleet) brittleRate(known *runner) float64 {
	part, brittle := f.rejectionPart(known)
	if !brittle || part >= 1 || f.isSafe(known) {
		return 0
	}
	return max(part*float64(f.nodeCount()), leastBrittleRate)
}

// hasRoom reports whether a runner lately had a free slot for one more request of this node, if all
// nodes share its free slots evenly. mutex must be held.
func (f *Fleet) hasRoom(known *runner) bool {
	load := known.load
	if load.at.IsZero() || f.now().Sub(load.at) >= roomLifetime {
		return false
	}
	free := usedRoom * float64(known.listed.Slots-load.running-load.waiting)
	return max(known.inFlight-load.own, 0) < int(free)/f.nodeCount()
}

// isCalm reports whether a runner may be assumed to take one request at a time from this node: it had
// few when it last told, if all nodes sent as many since as this one, and rejected none. mutex must
// be held.
func (f *Fleet) isCalm(known *runner) bool {
	now, load := f.now(), known.load
	if count := len(known.rejectedAt); count > 0 && now.Sub(known.rejectedAt[count-1]) < calmLifetime {
		return false
	}
	estimate := known.inFlight * f.nodeCount()
	if !load.at.IsZero() && now.Sub(load.at) < calmLifetime {
		estimate = load.running + load.waiting + max(known.inFlight-load.own, 0)*f.nodeCount()
	}
	return known.unanswered == 0 && estimate <= known.listed.Slots/2
}

// isSafe reports whether a request may be sent to a brittle runner without further bounds. Where
// permits are lent, only known room counts: the load of such runners can be asked for. mutex must be
// held.
func (f *Fleet) isSafe(known *runner) bool {
	return f.hasRoom(known) || !f.lends(known.listed.Service) && f.isCalm(known)
}

// roomUntil returns until when a request that is chosen now counts on the room of a brittle runner;
// the zero time if it does not. mutex must be held.
func (f *Fleet) roomUntil(known *runner) (until time.Time) {
	if _, brittle := f.rejectionPart(known); !brittle || !f.isSafe(known) {
		return until
	}
	return f.now().Add(roomLifetime)
}

// rate returns how many requests per second a runner takes from all nodes together; zero for any
// number. mutex must be held.
func (f *Fleet) rate(known *runner) (rate float64, lasts time.Duration) {
	stated := f.statements.State(known.listed.ID)
	if stated.Rate > 0 {
		return stated.Rate, stated.RateFor
	}
	return f.brittleRate(known), rejectionWindow
}

// loadInquiryInterval is the time between two questions for the load of a runner that requests wait
// for.
const loadInquiryInterval = 200 * time.Millisecond

// TakeUnknownLoads returns the brittle runners that could serve a request if they were known to have
// room, and whose load has not been asked for lately.
func (f *Fleet) TakeUnknownLoads(query Query) []backend.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.statements.Empty() {
		return nil
	}
	now := f.now()
	var runners []backend.Runner
	for _, known := range f.runners {
		if now.Sub(known.load.at) < roomLifetime || now.Sub(known.loadAskedAt) < loadInquiryInterval || !f.mayAsk(known, query.Service, query.Homes) {
			continue
		}
		if _, brittle := f.rejectionPart(known); brittle && f.unitBlockedBy(known, query.Unit) == unblocked {
			known.loadAskedAt = now
			runners = append(runners, known.listed)
		}
	}
	return runners
}

// recordRejection records that the runner rejected a request.
func (r *runner) recordRejection(now time.Time) {
	r.rejectedAt = append(r.rejectedAt[len(r.rejectedAt)-r.recentRejections(now):], now)
}

// recentRejections returns how many requests the runner rejected lately.
func (r *runner) recentRejections(now time.Time) int {
	count := 0
	for count < len(r.rejectedAt) && now.Sub(r.rejectedAt[len(r.rejectedAt)-1-count]) < rejectionWindow {
		count++
	}
	return count
}

// wakeHeldBack wakes the requests that were held back from a brittle runner which may take one now.
// mutex must be held.
func (f *Fleet) wakeHeldBack(known *runner) {
	if known.heldBack {
		known.heldBack = false
		f.notify()
	}
}

// waitingCapacity returns how many requests of this node may wait for a runner that rests or is
// brittle. mutex must be held.
func (f *Fleet) waitingCapacity(known *runner) int {
	capacity := max(known.activeBeforeRest, minRestCapacity)
	if part, brittle := f.rejectionPart(known); brittle {
		capacity = max(capacity, waitersPerPart*max(int(part), 1))
	}
	return capacity
}
