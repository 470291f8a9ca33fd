package fleet

import "time"

const (
	// loadLifetime is how long a reported load is used.
	loadLifetime = time.Second
	// slownessLifetime is how long a reported slowness is used, with fading weight. It may
	// change many times a second; used for longer, it would send requests to the wrong
	// runners.
	slownessLifetime = 200 * time.Millisecond
	latencyWeight    = 0.1
	// unreadWeight is the weight of one request in meanUnread.
	unreadWeight = 0.1
	// failureWeight is the weight of one answer in the failure share of a runner.
	failureWeight = 0.25
	// failurePenalty is the cost in milliseconds of a runner that always fails.
	failurePenalty = 2_000.0
	// failureMemory is the time after which the penalty of a runner that gets no requests is
	// halved.
	failureMemory = 2 * time.Second
)

// reportedLoad is the load that a runner reported, with this node's own part of it.
type reportedLoad struct {
	running int
	waiting int
	own     int
	// prefill is how many tokens sent by this node the runner still had to read at that time.
	prefill int
	// slowness is how long work took then, relative to the usual time; zero if not reported.
	slowness float64
	at       time.Time
}

// factor is how long work is expected to take now, relative to the usual time.
func (l reportedLoad) factor(now time.Time) float64 {
	age := now.Sub(l.at)
	if l.slowness == 0 || age >= slownessLifetime {
		return 1
	}
	left := float64(slownessLifetime-age) / float64(slownessLifetime)
	return 1 + (l.slowness-1)*left
}

// queued returns how many tokens are expected to be read at the runner before another prompt:
// those of the requests that waited at the time of the report, fading with age, and those sent
// by this node since. meanUnread is the mean number of tokens to be read for a request;
// prefill is what the runner still has to read for this node's requests.
func (l reportedLoad) queued(now time.Time, prefill int, meanUnread float64) int {
	age := now.Sub(l.at)
	if l.at.IsZero() || age >= loadLifetime {
		return prefill
	}
	left := float64(loadLifetime-age) / float64(loadLifetime)
	return int(float64(l.waiting)*meanUnread*left) + max(prefill-l.prefill, 0)
}

// estimate returns the number of requests expected at the runner: this node's own, and those
// of other nodes as last reported, fading with age.
func (l reportedLoad) estimate(now time.Time, own int) int {
	age := now.Sub(l.at)
	if l.at.IsZero() || age >= loadLifetime {
		return own
	}
	others := max(l.running+l.waiting-l.own, 0)
	left := float64(loadLifetime-age) / float64(loadLifetime)
	return own + int(float64(others)*left+0.5)
}

// health tracks how often a runner fails.
type health struct {
	failureShare float64
	at           time.Time
}

func (h *health) success() { h.failureShare -= failureWeight * h.failureShare }

func (h *health) failure(now time.Time) {
	h.failureShare += failureWeight * (1 - h.failureShare)
	h.at = now
}

// unreachable records that no connection to the runner can be made.
func (h *health) unreachable(now time.Time) {
	h.failureShare = 1
	h.at = now
}

// penalty returns the cost in milliseconds of a runner that failed lately.
func (h *health) penalty(now time.Time) float64 {
	if h.failureShare < 0.01 {
		return 0
	}
	age := now.Sub(h.at)
	fading := 1 / (1 + float64(age)/float64(failureMemory))
	return failurePenalty * h.failureShare * h.failureShare * fading
}
