package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fleet"
)

// The explanation of a request that waited lists the obstacles, how many runners each concerns, and
// how old that information is.
func TestExplanationListsObstacles(t *testing.T) {
	unplaced := &dispatch.Unplaced{At: 1200 * time.Millisecond, Obstacles: fleet.Obstacles{
		{Reason: fleet.RunnerSilent, Runners: 2, Holding: 1, Age: 300 * time.Millisecond},
		{Reason: fleet.UnitNotHeld, Runners: 3, Age: 2 * time.Second},
	}}
	text := describeOutcome(dispatch.Outcome{Result: dispatch.ResultRefused, Reason: "no runner", Unplaced: unplaced})
	assert.Equal(t, text, "refused: no runner; no runner could take it after 1.2s: "+
		"2 silent, 1 of them hold it, heard of within 300ms; 3 not_held, 0 of them hold it, heard of within 2s")
}
