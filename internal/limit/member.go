package limit

import (
	"math"
	"time"

	"lilacvane/internal/tenant"
)

// useHalfLife is the half-life of a node's recorded usage. At most nodes a tenant sends requests
// only every few seconds.
const useHalfLife = 8 * time.Second

// member is a node that has reported to the divider.
type member struct {
	address  string
	region   string
	spare    float64
	process  string
	replaced map[string]bool
	// acked is the newest version that the node's current process confirmed; zero if it has
	// confirmed none to this divider, in which case it is not known what the node has.
	acked      Version
	lastReport time.Time
	used       map[tenant.Name]*usage
	// startedEmpty is set if the node had no shares at its first report. filledInitially is set
	// once its buckets got their initial tokens.
	startedEmpty    bool
	filledInitially bool
	// seeded is set once used was initialized from the parts that an earlier divider assigned.
	seeded bool
}

// usage is an exponentially decaying sum of the requested cost and of the number of requests.
type usage struct {
	cost     float64
	requests float64
	at       time.Time
}

func (m *member) usageOf(name tenant.Name, now time.Time) *usage {
	if m.used[name] == nil {
		m.used[name] = &usage{at: now}
	}
	return m.used[name]
}

func (u *usage) add(cost, requests float64, now time.Time) {
	u.decay(now)
	u.cost += cost
	u.requests += requests
}

func (u *usage) decay(now time.Time) {
	kept := math.Exp2(-float64(now.Sub(u.at)) / float64(useHalfLife))
	u.cost *= kept
	u.requests *= kept
	u.at = now
}

// addRate adds the cost that the sum would hold if perSecond had been requested steadily until
// now.
func (u *usage) addRate(perSecond float64, now time.Time) {
	u.add(perSecond*useHalfLife.Seconds()/math.Ln2, 0, now)
}

// perSecond returns the requested cost per second.
func (u *usage) perSecond(now time.Time) float64 {
	u.decay(now)
	return u.cost * math.Ln2 / useHalfLife.Seconds()
}
