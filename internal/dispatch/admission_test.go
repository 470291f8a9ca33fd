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
		returned bool
		verdict  waitDecision
	}{
		"load within the objective":    {wait: patient, expected: 2000 * ms, verdict: keepWaiting},
		"load that nobody began":       {wait: patient, expected: 3300 * ms, elapsed: 880 * ms, verdict: retryLater},
		"load just within objective":   {wait: patient, expected: 3600 * ms, elapsed: 20 * ms, verdict: keepWaiting},
		"load after the objective":     {wait: hurried, expected: 2000 * ms, verdict: retryLater},
		"adapter within the objective": {wait: hurried, expected: 40 * ms, verdict: keepWaiting},
		"nothing known yet":            {wait: hurried, unknown: true, verdict: keepWaiting},
		"came back already":            {wait: hurried, expected: 900 * ms, returned: true, verdict: keepWaiting},
		"too late to be sent back":     {wait: hurried, expected: 900 * ms, elapsed: 300 * ms, verdict: keepWaiting},
		"came back for nothing":        {wait: hurried, expected: 2000 * ms, elapsed: 200 * ms, returned: true, verdict: giveUp},
		"came back, nothing known":     {wait: hurried, unknown: true, returned: true, verdict: keepWaiting},
		"its time is over":             {wait: hurried, expected: 900 * ms, elapsed: 2100 * ms, verdict: giveUp},
	} {
		w := test.wait
		w.expected, w.known, w.elapsed, w.retried = test.expected, !test.unknown, test.elapsed, test.returned
		w.earliest = min(test.expected, 2*time.Second)
		decision, retryAfter, again := w.decide()
		assert.Equal(t, decision, test.verdict, name)
		switch decision {
		case retryLater:
			assert.Equal(t, retryAfter, test.expected, name)
		case keepWaiting:
			assert.Assert(t, again > 0 && again <= w.maxWait, name)
		}
	}
}
