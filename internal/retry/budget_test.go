package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBudgetKeepsItsBound checks that in every window, a node spends at most its part of the slack
// and its share of the requests.
func TestBudgetKeepsItsBound(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	const nodes = 7
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		budget := NewBudget(limits, nodes, func() time.Time { return now })
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest()
				requests = append(requests, now)
			}
			if budget.Take() {
				retries = append(retries, now)
			}
			allowed := limits.Ratio*float64(within(requests, now, limits.Window)) + limits.Slack/nodes
			if spent := within(retries, now, limits.Window); float64(spent) > allowed {
				t.Fatalf("%d retries, %g allowed", spent, allowed)
			}
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// TestBudgetRefusesWhenSpent checks that retries end when the slack is used up.
func TestBudgetRefusesWhenSpent(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := NewBudget(Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, 1, func() time.Time { return now })
	spent := 0
	for budget.Take() {
		spent++
	}
	assert.Equal(t, spent, 5)
}
