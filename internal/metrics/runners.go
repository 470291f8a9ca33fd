package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
)

// States of listed runners. Each runner counts once: in an evacuated zone it counts as zone_out,
// whatever other state it is in.
const (
	runnersReady    = "ready"
	runnersDraining = "draining"
	runnersCold     = "cold"
	runnersZoneOut  = "zone_out"
)

// quarantinedReason is the reason of requests refused because runners ended under the same content.
const quarantinedReason = "quarantined"

// stoppingReason is the reason of requests that a stopping node could not finish.
const stoppingReason = "stopping"

// otherReason is the reason of refusals unrelated to the state of runners, such as unknown keys.
const otherReason = "other"

// runnerCollector counts listed runners by state at each scrape.
type runnerCollector struct {
	count func() map[string]int
	desc  *prometheus.Desc
}

func newRunnerCollector(count func() map[string]int) *runnerCollector {
	return &runnerCollector{
		count: count,
		desc:  prometheus.NewDesc("lilacvane_runners_by_state", "Runners listed, by state; each counts once.", []string{"state"}, nil),
	}
}

// Describe sends the description of the metric.
func (c *runnerCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.desc }

// Collect sends the number of runners in each state.
func (c *runnerCollector) Collect(metrics chan<- prometheus.Metric) {
	for state, runners := range c.count() {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(runners), state)
	}
}

// CountStates counts runners by state, given the counts of each zone and which zones are out.
func CountStates(zones map[place.Zone]fleet.StateCounts, out func(place.Zone) bool) map[string]int {
	counts := map[string]int{runnersReady: 0, runnersDraining: 0, runnersCold: 0, runnersZoneOut: 0}
	for zone, zoneCounts := range zones {
		if out(zone) {
			counts[runnersZoneOut] += zoneCounts.Total()
			continue
		}
		counts[runnersReady] += zoneCounts.Ready
		counts[runnersDraining] += zoneCounts.Draining
		counts[runnersCold] += zoneCounts.Cold
	}
	return counts
}

func newRefusalCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_requests_refused_total",
		Help: "Requests refused, by what kept most of the runners that hold what they name; stopping: nothing of runners, the node stops; other: nothing of runners.",
	}, []string{"reason"})
}

// refusalReason returns why a request was refused. The number of reasons is bounded: those of the
// fleet, quarantined, stopping and other.
func refusalReason(o dispatch.Outcome) string {
	if o.Problem != nil && (o.Problem.Code == fault.CodeCrashSuspected || o.Problem.Code == fault.CodeCrashesRunners) {
		return quarantinedReason
	}
	if o.Problem != nil && o.Problem.Code == fault.CodeDraining && o.Problem.Step == dispatch.StepAccept {
		return stoppingReason
	}
	if o.Unplaced == nil {
		return otherReason
	}
	return o.Unplaced.Obstacles.MainReason().String()
}
