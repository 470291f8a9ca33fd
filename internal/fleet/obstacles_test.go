package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// zonesOut is the set of zones that are taken out.
type zonesOut map[place.Zone]bool

func (zonesOut) Drained(_, _ string) bool { return false }

func (z zonesOut) ZoneOut(zone place.Zone) bool { return z[zone] }

// TestObstaclesCountRunnersByReason checks that each runner of the service counts once, under
// the first reason that blocks it, and that the reasons of runners holding the unit come
// first.
func TestObstaclesCountRunnersByReason(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	f := New("zone-a", c.read, zonesOut{"zone-b": true})
	unit := backend.Unit{Model: "m"}
	out, second := listed("r1", "m"), listed("r2")
	out.Zone, second.Zone = "zone-b", "zone-b"
	leaving, silent := listed("r3", "m"), listed("r4", "m")
	leaving.Draining = true
	other := listed("r5", "m")
	other.Service = "other"
	f.Replace([]backend.Runner{out, second, leaving, silent, other, listed("r6"), listed("r7"), listed("r8"), listed("r9", "m")}, false)
	query := Query{Service: "s", Unit: unit, Exclude: []string{"r9"}}
	c.now = c.now.Add(300 * time.Millisecond)
	f.ApplyViews([]View{{Runner: "r4", Ready: []backend.Holding{{Model: "m"}}, Silent: true}}, 0)
	found := f.Obstacles(query)
	assert.DeepEqual(t, found, Obstacles{
		{Reason: Reason(eligible.ZoneOut), Runners: 2, Holding: 1, Age: 300 * time.Millisecond},
		{Reason: Reason(eligible.Draining), Runners: 1, Holding: 1, Age: 300 * time.Millisecond},
		{Reason: RunnerSilent, Runners: 1, Holding: 1},
		{Reason: AlreadyTried, Runners: 1, Holding: 1, Age: 300 * time.Millisecond},
		{Reason: UnitNotHeld, Runners: 3, Age: 300 * time.Millisecond},
	})
	assert.Equal(t, found.MainReason().String(), "zone_out")
	assert.Equal(t, found.Wire()[0].Reason, "zone_out")
	assert.Equal(t, found.Wire()[0].AgeMs, int64(300))
	_, chosen := f.Choose(query)
	assert.Assert(t, !chosen)
}

// TestObstaclesOutsideHomes checks that runners outside the homes of a request are reported as
// such.
func TestObstaclesOutsideHomes(t *testing.T) {
	f, _ := testFleet()
	f.Replace([]backend.Runner{listed("r1")}, false)
	found := f.Obstacles(Query{Service: "s", Homes: place.NewHomes([]place.Region{"north"})})
	assert.Equal(t, found.MainReason().String(), "outside_homes")
}

// TestObstaclesWithoutRunners covers a service without runners and a unit that no runner
// holds.
func TestObstaclesWithoutRunners(t *testing.T) {
	f, _ := testFleet()
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}}
	assert.Equal(t, f.Obstacles(query).MainReason(), NoneKnown)
	assert.Equal(t, f.Obstacles(query).String(), "none_known")
	f.Replace([]backend.Runner{listed("r1"), listed("r2")}, false)
	assert.Equal(t, f.Obstacles(query).MainReason(), UnitNotHeld)
	assert.Equal(t, f.Obstacles(query).String(), "2 not_held, 0 of them hold it, heard of within 0s")
}

// TestObstaclesAgreeWithTheChoice checks that a runner can be chosen for a request if and only
// if a runner of its service is in no obstacle.
func TestObstaclesAgreeWithTheChoice(t *testing.T) {
	f, _ := testFleet()
	f.Replace([]backend.Runner{listed("r1", "m"), listed("r2", "m"), listed("r3")}, false)
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}}
	for _, exclude := range [][]string{nil, {"r1"}, {"r1", "r2"}, {"r1", "r2", "r3"}} {
		query.Exclude = exclude
		kept := 0
		for _, obstacle := range f.Obstacles(query) {
			kept += obstacle.Runners
		}
		choice, ok := f.Choose(query)
		assert.Equal(t, ok, kept < 3, "%v", exclude)
		if ok {
			f.Done(choice, query, Served, time.Millisecond, false)
		}
	}
}

// TestObstaclesAreCached checks that equal requests at the same time share the obstacles
// found, that a change of the list or the end of the lifetime causes a new search, and that
// the cache is bounded.
func TestObstaclesAreCached(t *testing.T) {
	f, c := testFleet()
	f.Replace([]backend.Runner{listed("r1", "m")}, false)
	query := Query{Service: "s", Unit: backend.Unit{Model: "none"}}
	for range 100 {
		f.Obstacles(query)
	}
	assert.Equal(t, len(f.obstacles), 1)
	f.Apply([]backend.Runner{listed("r2")}, nil, false)
	assert.Equal(t, f.Obstacles(query)[0].Runners, 2)
	c.now = c.now.Add(obstaclesLifetime)
	assert.Equal(t, f.Obstacles(query)[0].Age, obstaclesLifetime)
	for i := range 2 * maxCachedObstacles {
		f.Obstacles(Query{Service: "s", Unit: backend.Unit{Model: fmt.Sprint(i)}})
		assert.Assert(t, len(f.obstacles) <= maxCachedObstacles)
	}
}
