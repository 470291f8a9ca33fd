package fleet

import "time"

const (
	// toldLifetime is how long the load a runner told is believed.
	toldLifetime = time.Second
	// slownessLifetime is how long the slowness a runner told is believed, fading: it may
	// change many times a second, and told later it would send requests to the wrong runners.
	slownessLifetime = 200 * time.Millisecond
	latencyWeight    = 0.1
	// unreadWeight moves the mean of what a request has to be read with each one.
	unreadWeight = 0.1
	// failureWeight moves the failure share of a runner with each answer.
	failureWeight = 0.25
	// failurePenalty is the cost of a runner that always fails, in milliseconds.
	failurePenalty = 2_000.0
	// failureMemory halves the failure share of a runner that gets no requests.
	failureMemory = 2 * time.Second
)

// toldLoad is the load a runner told, and this node's own share of it.
type toldLoad struct {
	running int
	waiting int
	own     int
	// prefill is what this node had sent there to be read by then, in tokens.
	prefill int
	// slowness is how long work took there then, against the usual; zero where not told.
	slowness float64
	at       time.Time
}

// factor is how many times as long as usual work is expected to take now.
func (t toldLoad) factor(now time.Time) float64 {
	age := now.Sub(t.at)
	if t.slowness == 0 || age >= slownessLifetime {
		return 1
	}
	left := float64(slownessLifetime-age) / float64(slownessLifetime)
	return 1 + (t.slowness-1)*left
}

// queued is how many tokens are expected to be read at the runner before another
// prompt: those of the requests that waited when it told, fading with age, and those
// that this node sent since. meanUnread is what one request has to be read, prefill
// what this node's requests there still have.
func (t toldLoad) queued(now time.Time, prefill int, meanUnread float64) int {
	age := now.Sub(t.at)
	if t.at.IsZero() || age >= toldLifetime {
		return prefill
	}
	left := float64(toldLifetime-age) / float64(toldLifetime)
	return int(float64(t.waiting)*meanUnread*left) + max(prefill-t.prefill, 0)
}

// estimate returns the requests expected at the runner: this node's own, and
// those of others as last told, fading with age.
func (t toldLoad) estimate(now time.Time, own int) int {
	age := now.Sub(t.at)
	if t.at.IsZero() || age >= toldLifetime {
		return own
	}
	others := max(t.running+t.waiting-t.own, 0)
	left := float64(toldLifetime-age) / float64(toldLifetime)
	return own + int(float64(others)*left+0.5)
}

// health follows how often a runner fails.
type health struct {
	failureShare float64
	at           time.Time
}

func (h *health) success() { h.failureShare -= failureWeight * h.failureShare }

func (h *health) failure(now time.Time) {
	h.failureShare += failureWeight * (1 - h.failureShare)
	h.at = now
}

// lost notes that the runner cannot be reached at all.
func (h *health) lost(now time.Time) {
	h.failureShare = 1
	h.at = now
}

// penalty returns the cost of a runner that failed lately, in milliseconds.
func (h *health) penalty(now time.Time) float64 {
	if h.failureShare < 0.01 {
		return 0
	}
	age := now.Sub(h.at)
	fading := 1 / (1 + float64(age)/float64(failureMemory))
	return failurePenalty * h.failureShare * h.failureShare * fading
}
