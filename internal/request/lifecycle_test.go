package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
)

// TestLifecycleNeverClaimsNotRunFalsely: whatever happens in whatever order, a
// request that was sent and not stated as not run by the runner is never called
// not run, one that may not be repeated is sent only under a claim and never
// again after a send whose outcome is open, and final states stay.
func TestLifecycleNeverClaimsNotRunFalsely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Lifecycle{Once: rapid.Bool().Draw(t, "once")}
		mayHaveRun, claimed := false, false
		openSends := 0
		for range rapid.IntRange(0, 30).Draw(t, "length") {
			event := Event(rapid.IntRange(0, int(EventStop)).Draw(t, "event"))
			before := l.State()
			if l.Apply(event) != nil {
				if l.State() != before {
					t.Fatalf("a refused event changed %s to %s", before, l.State())
				}
				continue
			}
			if before == Done || before == Refused || before == Uncertain {
				t.Fatalf("%s was left by event %d", before, event)
			}
			switch event {
			case EventClaim:
				claimed = true
			case EventSend:
				openSends++
				if l.Once && (!claimed || mayHaveRun) {
					t.Fatal("a request that may not be repeated was sent without claim, or again")
				}
			case EventNotRun:
				openSends--
			case EventChunk, EventAbandon:
				mayHaveRun = true
			}
			if (mayHaveRun || openSends > 0) && l.Ran() == fault.NotDone {
				t.Fatalf("in state %s after %d open sends it says not run", l.State(), openSends)
			}
		}
	})
}

// TestLifecycleOutcomes: the usual ways through.
func TestLifecycleOutcomes(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []Event
		ran    fault.Outcome
	}{
		{"refused while queued", []Event{EventStop}, fault.NotDone},
		{"served", []Event{EventSend, EventChunk, EventFinish}, fault.Done},
		{"refused by the runner", []Event{EventSend, EventNotRun, EventStop}, fault.NotDone},
		{"lost after sending", []Event{EventSend, EventStop}, fault.Unknown},
		{"lost while answering", []Event{EventSend, EventChunk, EventStop}, fault.Unknown},
		{"abandoned and refused", []Event{EventSend, EventAbandon, EventStop}, fault.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l Lifecycle
			for _, event := range test.events {
				assert.NilError(t, l.Apply(event))
			}
			assert.Equal(t, l.Ran(), test.ran)
		})
	}
}
