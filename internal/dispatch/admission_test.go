package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitDecisions: who waits, who is sent back and when, who is given up.
func TestWaitDecisions(t *testing.T) {
	const ms = time.Millisecond
	patient := wait{hold: 8000 * ms, objective: 4000 * ms}
	hurried := wait{hold: 2100 * ms, objective: 400 * ms}
	for name, test := range map[string]struct {
		wait     wait
		expected time.Duration
		elapsed  time.Duration
		unknown  bool
		returned bool
		verdict  verdict
	}{
		"load within the objective":    {wait: patient, expected: 2000 * ms, verdict: keepWaiting},
		"load that nobody began":       {wait: patient, expected: 3300 * ms, elapsed: 880 * ms, verdict: sendBack},
		"load just within objective":   {wait: patient, expected: 3600 * ms, elapsed: 20 * ms, verdict: keepWaiting},
		"load after the objective":     {wait: hurried, expected: 2000 * ms, verdict: sendBack},
		"adapter within the objective": {wait: hurried, expected: 40 * ms, verdict: keepWaiting},
		"nothing known yet":            {wait: hurried, unknown: true, verdict: keepWaiting},
		"came back already":            {wait: hurried, expected: 900 * ms, returned: true, verdict: keepWaiting},
		"too late to be sent back":     {wait: hurried, expected: 900 * ms, elapsed: 300 * ms, verdict: keepWaiting},
		"came back for nothing":        {wait: hurried, expected: 2000 * ms, elapsed: 200 * ms, returned: true, verdict: giveUp},
		"came back, nothing known":     {wait: hurried, unknown: true, returned: true, verdict: keepWaiting},
		"its time is over":             {wait: hurried, expected: 900 * ms, elapsed: 2100 * ms, verdict: giveUp},
	} {
		w := test.wait
		w.expected, w.known, w.elapsed, w.returned = test.expected, !test.unknown, test.elapsed, test.returned
		w.least = min(test.expected, 2*time.Second)
		decision, retryAfter, again := w.decide()
		assert.Equal(t, decision, test.verdict, name)
		switch decision {
		case sendBack:
			assert.Equal(t, retryAfter, test.expected, name)
		case keepWaiting:
			assert.Assert(t, again > 0 && again <= w.hold, name)
		}
	}
}
