package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitDecisions checks which requests wait, which are refused with a retry time, and which are
// given up.
func TestWaitDecisions(t *testing.T) {
	const ms = time.Millisecond
	patient := wait{maxWait: 8000 * ms, objective: 4000 * ms}
	hurried := wait{maxWait: 2100 * ms, objective: 400 * ms}
	for name, test := range map[string]struct {
		wait     wait
		expected time.Duration
		elapsed  time.Duration
		unknown  bool
		retried  bool
		decision waitDecision
	}{
		"load within the objective":    {wait: patient, expected: 2000 * ms, decision: keepWaiting},
		"load that has not begun":      {wait: patient, expected: 3300 * ms, elapsed: 880 * ms, decision: retryLater},
		"load just within objective":   {wait: patient, expected: 3600 * ms, elapsed: 20 * ms, decision: keepWaiting},
		"load after the objective":     {wait: hurried, expected: 2000 * ms, decision: retryLater},
		"adapter within the objective": {wait: hurried, expected: 40 * ms, decision: keepWaiting},
		"nothing known yet":            {wait: hurried, unknown: true, decision: keepWaiting},
		"retried already":              {wait: hurried, expected: 900 * ms, retried: true, decision: keepWaiting},
		"too late for a refusal":       {wait: hurried, expected: 900 * ms, elapsed: 300 * ms, decision: keepWaiting},
		"retried, but hopeless":        {wait: hurried, expected: 2000 * ms, elapsed: 200 * ms, retried: true, decision: giveUp},
		"retried, nothing known":       {wait: hurried, unknown: true, retried: true, decision: keepWaiting},
		"deadline passed":              {wait: hurried, expected: 900 * ms, elapsed: 2100 * ms, decision: giveUp},
	} {
		w := test.wait
		w.expected, w.known, w.elapsed, w.retried = test.expected, !test.unknown, test.elapsed, test.retried
		w.earliest = min(test.expected, 2*time.Second)
		decision, retryAfter, recheck := w.decide()
		assert.Equal(t, decision, test.decision, name)
		switch decision {
		case retryLater:
			assert.Equal(t, retryAfter, test.expected, name)
		case keepWaiting:
			assert.Assert(t, recheck > 0 && recheck <= w.maxWait, name)
		}
	}
}
