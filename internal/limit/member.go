package limit

import (
	"math"
	"time"

	"lilacvane/internal/tenant"
)

// useHalfLife is how fast a node's weight follows what is asked there. A tenant asks
// at most nodes every few seconds only.
const useHalfLife = 8 * time.Second

// member is a node that reported.
type member struct {
	address  string
	region   string
	spare    float64
	process  string
	replaced map[string]bool
	// acked is the newest version that its process said it has; zero when it has said none
	// to this divider: what it has then is not known.
	acked Version
	heard time.Time
	used  map[tenant.Name]*flow
	// fresh is set when it had nothing at its first report, started once its buckets began
	// with something.
	fresh   bool
	started bool
	// seeded is set once used was filled from the parts that an earlier divider gave.
	seeded bool
}

// flow is a fading sum of what was asked, by so many requests.
type flow struct {
	cost     float64
	requests float64
	at       time.Time
}

func (m *member) flow(name tenant.Name, now time.Time) *flow {
	if m.used[name] == nil {
		m.used[name] = &flow{at: now}
	}
	return m.used[name]
}

func (f *flow) add(cost, requests float64, now time.Time) {
	f.fade(now)
	f.cost += cost
	f.requests += requests
}

func (f *flow) fade(now time.Time) {
	kept := math.Exp2(-float64(now.Sub(f.at)) / float64(useHalfLife))
	f.cost *= kept
	f.requests *= kept
	f.at = now
}

// addRate adds what makes it as if so much had been asked a second until now.
func (f *flow) addRate(perSecond float64, now time.Time) {
	f.add(perSecond*useHalfLife.Seconds()/math.Ln2, 0, now)
}

// perSecond is what is asked a second.
func (f *flow) perSecond(now time.Time) float64 {
	f.fade(now)
	return f.cost * math.Ln2 / useHalfLife.Seconds()
}
