package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
	"lilacvane/internal/retry"
)

// zonesOut are zones that are taken out.
type zonesOut map[place.Zone]bool

func (zonesOut) Drained(_, _ string) bool { return false }

func (z zonesOut) ZoneOut(zone place.Zone) bool { return z[zone] }

// zonedJob is a request for a model that one runner in each of two zones holds.
func zonedJob(out eligible.Rules) *job {
	runnerFleet := fleet.New("a", time.Now, out)
	unit := backend.Unit{Model: "alpha"}
	held := []backend.Holding{{Model: unit.Model}}
	runnerFleet.Replace([]backend.Runner{
		{ID: "r1", Service: "s", Zone: "a", Models: held}, {ID: "r2", Service: "s", Zone: "b", Models: held},
	}, false)
	j := waitingFor(runnerFleet, time.Hour)
	j.dispatcher.MaxPropagationDelay = 3 * time.Second
	return j
}

// TestAllZonesOutIsRefusedAtOnce checks that the request is refused as not run, with the reason and
// the earliest time at which that can change.
func TestAllZonesOutIsRefusedAtOnce(t *testing.T) {
	j := zonedJob(zonesOut{"a": true, "b": true})
	_, err := j.selectRunner(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeZonesOut))
	assert.ErrorContains(t, err, "taken out")
	problem := fault.From(err, "")
	assert.Equal(t, problem.Ran, fault.NotDone)
	assert.Equal(t, problem.RetryAfter, 3*time.Second)
}

// zonesTaken takes out zone a, and all zones once all is set.
type zonesTaken struct{ all atomic.Bool }

func (*zonesTaken) Drained(_, _ string) bool { return false }

func (z *zonesTaken) ZoneOut(zone place.Zone) bool { return zone == "a" || z.all.Load() }

// TestWaitEndsWhenTheLastZoneIsTakenOut checks that a request that waits for a model is woken and
// refused.
func TestWaitEndsWhenTheLastZoneIsTakenOut(t *testing.T) {
	rules := &zonesTaken{}
	j := zonedJob(rules)
	j.query.Unit.Model = "beta"
	ended := make(chan error, 1)
	go func() {
		_, err := j.selectRunner(t.Context())
		ended <- err
	}()
	for len(j.dispatcher.Demand.Waiting()) == 0 {
		time.Sleep(time.Millisecond)
	}
	rules.all.Store(true)
	j.dispatcher.Fleet.Wake()
	assert.Assert(t, fault.IsCode(<-ended, fault.CodeZonesOut))
}

// TestHedgeIntoAZoneTakenOutIsNotSent checks that a runner reserved before its zone was taken out
// is not used after that, and that the next hedge goes elsewhere.
func TestHedgeIntoAZoneTakenOutIsNotSent(t *testing.T) {
	out := zonesOut{"b": true}
	j := zonedJob(out)
	j.route.Attempts, j.deadline = 2, time.Now().Add(time.Minute)
	j.dispatcher.Retries = retry.Limits{Ratio: 1, Slack: 100, Window: time.Second}
	h := j.newHedges(t.Context(), fleet.Choice{})
	reserved, ok := h.reserve()
	assert.Assert(t, ok && reserved.Runner.ID == "r1")
	hedged := h.begin(reserved)
	out["a"], out["b"] = true, false
	h.send(hedged, "")
	assert.ErrorIs(t, hedged.err, errNotAdmitted)
	assert.Equal(t, fault.OutcomeOf(hedged.err), fault.NotDone)
	h.finish(hedged)
	choice, ok := h.reserve()
	assert.Assert(t, ok && h.mayHedge())
	assert.Equal(t, choice.Runner.ID, "r2")
}
