package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/scheduler"
)

// TestUnchangedListIsNotReadAgain checks that a round reads the platform's list only if it
// changed.
func TestUnchangedListIsNotReadAgain(t *testing.T) {
	c, engine := newLargeHolder(100, 10, 1)
	c.updateRunners(engine, time.Now())
	assert.Equal(t, len(c.ledgers), 100)
	delete(c.ledgers, "i-0000000001")
	c.updateRunners(engine, time.Now())
	assert.Equal(t, len(c.ledgers), 99, "the list was read again")
	c.Fleet.Apply([]backend.Runner{{ID: "new", Service: "s"}}, []string{"i-0000000002"}, false)
	c.updateRunners(engine, time.Now())
	assert.Equal(t, len(c.ledgers), 100)
	assert.Assert(t, c.ledgers["new"] != nil && c.ledgers["i-0000000001"] != nil && c.ledgers["i-0000000002"] == nil)
}

// TestPauseAfterIdleRound checks that a round that found nothing to do is followed by a
// longer pause, which ends as soon as requests begin to wait.
func TestPauseAfterIdleRound(t *testing.T) {
	const took = 100 * time.Millisecond
	for _, test := range []struct {
		name   string
		idle   bool
		urgent time.Duration
		paused time.Duration
	}{
		{"something to do", false, 0, planPauseFactor * took},
		{"quiet", true, 0, idlePauseFactor * took},
		{"requests begin to wait", true, 500 * time.Millisecond, 500 * time.Millisecond},
		{"requests begin to wait soon", true, time.Millisecond, planPauseFactor * took},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := NewController(Options{Log: logr.Discard(), Configuration: func() *config.Configuration { return nil }})
			if test.urgent > 0 {
				time.AfterFunc(test.urgent, c.wakeUrgently)
			}
			start := time.Now()
			c.pauseAfterRound(t.Context(), took, test.idle)
			assert.Equal(t, time.Since(start), test.paused, test.name)
		})
	}
}

// TestRoundIsIdleOnlyWithoutWork checks that a round does not count as idle while requests
// wait, even for a load in progress, while a runner has to report, or when it orders
// something.
func TestRoundIsIdleOnlyWithoutWork(t *testing.T) {
	unit := backend.Unit{Model: "m1"}
	for _, test := range []struct {
		name   string
		change func(c *Controller, plan *scheduler.Plan, state *scheduler.State)
		idle   bool
	}{
		{"at rest", func(*Controller, *scheduler.Plan, *scheduler.State) {}, true},
		{"used, no request waits", func(_ *Controller, _ *scheduler.Plan, state *scheduler.State) {
			state.Demand = map[backend.Unit]*scheduler.Demand{unit: {Rate: 2}}
		}, true},
		{"requests wait", func(_ *Controller, _ *scheduler.Plan, state *scheduler.State) {
			state.Demand = map[backend.Unit]*scheduler.Demand{unit: {Waiting: 1}}
		}, false},
		{"a runner is to report", func(c *Controller, _ *scheduler.Plan, _ *scheduler.State) {
			c.ledgers["i-0000000003"].EnsureReport(time.Now())
		}, false},
		{"an order", func(_ *Controller, plan *scheduler.Plan, _ *scheduler.State) {
			plan.Steps = []scheduler.Step{{Unit: unit}}
		}, false},
		{"an intent is pending", func(_ *Controller, plan *scheduler.Plan, _ *scheduler.State) {
			plan.Intents = map[string]scheduler.Intent{"r": {Model: "m1"}}
		}, false},
	} {
		c, engine := newLargeHolder(10, 3, 1)
		c.updateRunners(engine, time.Now())
		plan, state := &scheduler.Plan{}, &scheduler.State{}
		test.change(c, plan, state)
		assert.Equal(t, c.isIdle(plan, state), test.idle, test.name)
	}
}
