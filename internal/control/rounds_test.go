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

// TestUnchangedListIsNotTakenAgain: a round looks at the platform's list only after it changed.
func TestUnchangedListIsNotTakenAgain(t *testing.T) {
	c, engine := largeHolder(100, 10, 1)
	c.takeRunners(engine, time.Now())
	assert.Equal(t, len(c.ledgers), 100)
	delete(c.ledgers, "i-0000000001")
	c.takeRunners(engine, time.Now())
	assert.Equal(t, len(c.ledgers), 99, "the list was taken again")
	c.Fleet.Apply([]backend.Runner{{ID: "new", Service: "s"}}, []string{"i-0000000002"}, false)
	c.takeRunners(engine, time.Now())
	assert.Equal(t, len(c.ledgers), 100)
	assert.Assert(t, c.ledgers["new"] != nil && c.ledgers["i-0000000001"] != nil && c.ledgers["i-0000000002"] == nil)
}

// TestQuietRoundsAreFew: a round that found nothing to do is followed by a longer pause, which
// ends as soon as requests begin to wait.
func TestQuietRoundsAreFew(t *testing.T) {
	const took = 100 * time.Millisecond
	for _, test := range []struct {
		name   string
		quiet  bool
		urgent time.Duration
		paused time.Duration
	}{
		{"something to do", false, 0, planShare * took},
		{"quiet", true, 0, quietShare * took},
		{"requests begin to wait", true, 500 * time.Millisecond, 500 * time.Millisecond},
		{"requests begin to wait soon", true, time.Millisecond, planShare * took},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := NewController(Options{Log: logr.Discard(), Configuration: func() *config.Configuration { return nil }})
			if test.urgent > 0 {
				time.AfterFunc(test.urgent, c.wakeUrgently)
			}
			start := time.Now()
			c.rest(t.Context(), took, test.quiet)
			assert.Equal(t, time.Since(start), test.paused, test.name)
		})
	}
}

// TestRoundIsQuietOnlyAtRest: a round is not quiet while requests wait, also for a load that is
// under way, while a runner is to report, or when it orders something.
func TestRoundIsQuietOnlyAtRest(t *testing.T) {
	unit := backend.Unit{Model: "m1"}
	for _, test := range []struct {
		name   string
		change func(c *Controller, plan *scheduler.Plan, state *scheduler.State)
		quiet  bool
	}{
		{"at rest", func(*Controller, *scheduler.Plan, *scheduler.State) {}, true},
		{"used, nobody waits", func(_ *Controller, _ *scheduler.Plan, state *scheduler.State) {
			state.Demand = map[backend.Unit]*scheduler.Demand{unit: {Rate: 2}}
		}, true},
		{"requests wait", func(_ *Controller, _ *scheduler.Plan, state *scheduler.State) {
			state.Demand = map[backend.Unit]*scheduler.Demand{unit: {Waiting: 1}}
		}, false},
		{"a runner is to report", func(c *Controller, _ *scheduler.Plan, _ *scheduler.State) {
			c.ledgers["i-0000000003"].Confirm(time.Now())
		}, false},
		{"an order", func(_ *Controller, plan *scheduler.Plan, _ *scheduler.State) {
			plan.Steps = []scheduler.Step{{Unit: unit}}
		}, false},
		{"a place is kept", func(_ *Controller, plan *scheduler.Plan, _ *scheduler.State) {
			plan.Intents = map[string]scheduler.Intent{"r": {Model: "m1"}}
		}, false},
	} {
		c, engine := largeHolder(10, 3, 1)
		c.takeRunners(engine, time.Now())
		plan, state := &scheduler.Plan{}, &scheduler.State{}
		test.change(c, plan, state)
		assert.Equal(t, c.isQuiet(plan, state), test.quiet, test.name)
	}
}
