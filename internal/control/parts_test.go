package control

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
)

// TestDemandIsDividedByHomes checks that waiting requests and use with homes are listed
// separately, with the work divided by the number of requests, and that the parts add up to
// the whole.
func TestDemandIsDividedByHomes(t *testing.T) {
	d, now := newDemandTracker(), time.Unix(1000, 0)
	d.addReport(wire.SyncRequest{
		Node: "n", Report: true,
		Waiting: []wire.UnitWaiting{
			{Model: "m", Adapter: "a", Count: 2, LeftMs: 500, Priority: 3, Homes: []string{"south"}},
			{Model: "m", Count: 1, LeftMs: 900, Priority: 1},
		},
		Usage: []wire.UnitUsage{
			{Model: "m", Adapter: "a", Requests: 3, Tokens: 3000, Homes: []string{"south"}}, {Model: "m", Requests: 1, Tokens: 1000}, {Model: "other", Requests: 5},
		},
	}, now)
	engine := &config.Engine{Slots: 8}
	units := d.units(d.running(now), engine, now)
	parts := d.parts(units, now)
	whole := units[backend.Unit{Model: "m"}]
	of := parts[backend.Unit{Model: "m"}]
	assert.Equal(t, whole.Waiting, 3)
	assert.Equal(t, len(of), 2)
	assert.Equal(t, of[0].Homes.String(), "south")
	assert.Equal(t, of[0].Waiting, 2)
	assert.Equal(t, of[0].Priority, 3)
	assert.Equal(t, of[1].Homes.String(), "any")
	assert.Equal(t, of[1].Waiting, 1)
	assert.Assert(t, near(of[0].Rate, whole.Rate*3/4) && near(of[1].Rate, whole.Rate/4) && near(of[0].Work+of[1].Work, whole.Work))
	adapter := parts[backend.Unit{Model: "m", Adapter: "a"}]
	assert.Equal(t, adapter[0].Waiting, 2)
	assert.Equal(t, adapter[1].Demand.Rate, 0.0)
	_, divided := parts[backend.Unit{Model: "other"}]
	assert.Assert(t, !divided)
}

// TestDemandWithoutHomesIsNotDivided checks that the demand is not split if no request has
// homes, so that plans are the same as without the feature.
func TestDemandWithoutHomesIsNotDivided(t *testing.T) {
	d, now := newDemandTracker(), time.Unix(1000, 0)
	d.addReport(wire.SyncRequest{Node: "n", Report: true, Waiting: []wire.UnitWaiting{{Model: "m", Count: 1}}, Usage: []wire.UnitUsage{{Model: "m", Requests: 1}}}, now)
	assert.Equal(t, len(d.parts(d.units(d.running(now), &config.Engine{Slots: 8}, now), now)), 0)
}

// TestHomesAreForgotten checks that use with homes expires like any other use.
func TestHomesAreForgotten(t *testing.T) {
	d, now := newDemandTracker(), time.Unix(1000, 0)
	d.addReport(wire.SyncRequest{Node: "n", Usage: []wire.UnitUsage{{Model: "m", Requests: 1, Homes: []string{"south"}}}}, now)
	later := now.Add(2 * forgetAfter)
	units := d.units(d.running(later), &config.Engine{Slots: 8}, later)
	assert.Equal(t, len(d.parts(units, later)), 0)
	assert.Equal(t, len(d.withHomes), 0)
	var none map[backend.Unit][]scheduler.Part
	assert.DeepEqual(t, d.parts(units, later), none)
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
