package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet holds a service's budgets on many nodes, and what was requested and retried in each tick.
type fleet struct {
	now      time.Time
	budgets  []*Budget
	requests []int
	retries  []int
}

const tick = 100 * time.Millisecond

func newFleet(limits Limits, nodes int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	random := rand.New(rand.NewPCG(seed, seed))
	for range nodes {
		f.budgets = append(f.budgets, newBudget(limits, nodes, func() time.Time { return f.now }, random.Float64))
	}
	return f
}

// step sends one request to each of a share of the nodes; all of them fail if failing is set.
func (f *fleet) step(share float64, failing bool) {
	f.now = f.now.Add(tick)
	requests, retries := 0, 0
	for index, budget := range f.budgets {
		if float64(index) >= share*float64(len(f.budgets)) {
			break
		}
		requests++
		budget.RecordRequest()
		if failing && budget.Take() {
			retries++
		}
	}
	f.requests = append(f.requests, requests)
	f.retries = append(f.retries, retries)
}

// check fails when some window had more retries than its requests allow.
func (f *fleet) check(t *testing.T, limits Limits) {
	t.Helper()
	window := int(limits.Window / tick)
	for end := window; end <= len(f.retries); end++ {
		spent, requests := 0, 0
		for index := end - window; index < end; index++ {
			spent += f.retries[index]
			requests += f.requests[index]
		}
		assert.Assert(t, float64(spent) <= limits.Ratio*float64(requests)+limits.Slack, "%d retries of %d requests", spent, requests)
	}
}

// TestFleetKeepsItsBound checks that however many nodes share a budget, and also when all requests
// of a service fail at once after a long calm, no window has more retries than allowed, and there
// are some. It first failed for 300 nodes: with a part of less than one retry, no node ever sent a
// request again.
func TestFleetKeepsItsBound(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	for _, nodes := range []int{1, 7, 40, 73, 100, 300, 2100} {
		for seed := range uint64(5) {
			f := newFleet(limits, nodes, seed)
			for range 300 {
				f.step(0.02, false)
			}
			for range 300 {
				f.step(0.3, true)
			}
			for range 200 {
				f.step(0.02, true)
			}
			f.check(t, limits)
			spent := 0
			for _, retries := range f.retries {
				spent += retries
			}
			assert.Assert(t, spent > 0, "%d nodes never send a request again", nodes)
		}
	}
}
