package metrics

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/eligible"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
)

// The states add up to the number of runners, even with a zone out.
func TestRunnersCountOnceByState(t *testing.T) {
	zones := map[place.Zone]fleet.StateCounts{"a": {Ready: 4, Cold: 2, Draining: 1}, "b": {Ready: 3, Cold: 1}}
	counts := CountStates(zones, func(zone place.Zone) bool { return zone == "b" })
	assert.DeepEqual(t, counts, map[string]int{"ready": 4, "cold": 2, "draining": 1, "zone_out": 4})
	registry := prometheus.NewRegistry()
	registry.MustRegister(newRunnerCollector(func() map[string]int { return counts }))
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, len(families[0].Metric), len(counts))
}

// A refusal counts by what kept the runners from serving, whatever its route, model or tenant.
func TestRefusalsHaveBoundedReasons(t *testing.T) {
	refused := func(obstacles fleet.Obstacles) string {
		return refusalReason(dispatch.Outcome{Unplaced: &dispatch.Unplaced{Obstacles: obstacles}})
	}
	assert.Equal(t, refusalReason(dispatch.Outcome{}), "other")
	assert.Equal(t, refused(nil), "none_known")
	assert.Equal(t, refused(fleet.Obstacles{{Reason: fleet.UnitNotHeld, Runners: 9}}), "not_held")
	assert.Equal(t, refused(fleet.Obstacles{{Reason: fleet.Reason(eligible.ZoneOut), Runners: 9}}), "zone_out")
	assert.Equal(t, refused(fleet.Obstacles{{Reason: fleet.Reason(eligible.ZoneOut), Runners: 9}, {Reason: fleet.UnitNotHeld, Runners: 1}}), "not_held")
	assert.Equal(t, refused(fleet.Obstacles{{Reason: fleet.RunnerSilent, Runners: 1, Holding: 1}, {Reason: fleet.UnitNotHeld, Runners: 9}}), "silent")
}
