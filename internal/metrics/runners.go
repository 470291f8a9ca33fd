package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
)

// The states in which listed runners are counted. Each runner counts once: one in a zone
// that is taken out as zone_out, whatever else holds of it.
const (
	runnersReady    = "ready"
	runnersDraining = "draining"
	runnersCold     = "cold"
	runnersZoneOut  = "zone_out"
)

// quarantinedReason counts refusals as runners ended under the request's content.
const quarantinedReason = "quarantined"

// otherReason counts refusals that no runner's state has to do with, such as unknown keys.
const otherReason = "other"

// runnerStates counts listed runners by state whenever figures are read.
type runnerStates struct {
	count func() map[string]int
	desc  *prometheus.Desc
}

func newRunnerStates(count func() map[string]int) *runnerStates {
	return &runnerStates{
		count: count,
		desc:  prometheus.NewDesc("lilacvane_runners_by_state", "Runners listed, by state; each counts once.", []string{"state"}, nil),
	}
}

// Describe tells the figure's name and labels.
func (s *runnerStates) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- s.desc }

// Collect counts the runners.
func (s *runnerStates) Collect(metrics chan<- prometheus.Metric) {
	for state, runners := range s.count() {
		metrics <- prometheus.MustNewConstMetric(s.desc, prometheus.GaugeValue, float64(runners), state)
	}
}

// CountStates counts runners by state, given those of each zone and which zones are out.
func CountStates(zones map[place.Zone]fleet.Standing, out func(place.Zone) bool) map[string]int {
	counts := map[string]int{runnersReady: 0, runnersDraining: 0, runnersCold: 0, runnersZoneOut: 0}
	for zone, standing := range zones {
		if out(zone) {
			counts[runnersZoneOut] += standing.Total()
			continue
		}
		counts[runnersReady] += standing.Ready
		counts[runnersDraining] += standing.Draining
		counts[runnersCold] += standing.Cold
	}
	return counts
}

func newRefused() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_requests_refused_total",
		Help: "Requests refused, by what kept most of the runners that hold what they name; other: nothing of runners.",
	}, []string{"reason"})
}

// refusalReason names why a request was refused; there are as many names as a fleet has
// reasons, and one more.
func refusalReason(o dispatch.Outcome) string {
	if o.Problem != nil && (o.Problem.Code == fault.CodeCrashSuspected || o.Problem.Code == fault.CodeCrashesRunners) {
		return quarantinedReason
	}
	if o.Unplaced == nil {
		return otherReason
	}
	return o.Unplaced.Obstacles.Main().String()
}
