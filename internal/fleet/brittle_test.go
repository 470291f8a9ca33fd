package fleet

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/statement"
)

const brittleHeader = "X-Brittle"

// brittleFleet returns a fleet of a number of nodes whose runner r1 stated how many rejections it
// endures.
func brittleFleet(nodes int, rejections string, names ...string) (*Fleet, *clock) {
	f, registry, c := statedFleet(append(names, "r1")...)
	f.SetNodes(nodes)
	f.SetColdStarts(ColdStarts{
		Terms: func(string) coldstart.Terms { return coldstart.Terms{} },
		Limit: func(rate float64, _ bool) coldstart.Terms { return coldstart.NewLimit(rate, coldstart.Lent{}) },
	})
	registry.ReadHeader(statement.Source{Runner: "r1", Request: "a"}, http.StatusOK, http.Header{brittleHeader: {rejections}})
	return f, c
}

// sendAll chooses runners until none is left, and returns the choices.
func sendAll(f *Fleet) []Choice {
	var choices []Choice
	for {
		choice, ok := f.Choose(statedQuery)
		if !ok {
			return choices
		}
		choices = append(choices, choice)
	}
}

// TestBrittleRunnerGetsItsPart: without an answer, a brittle runner gets as many requests of this
// node as it may reject of them; each answer makes room for one more, a rejection only after its
// time.
func TestBrittleRunnerGetsItsPart(t *testing.T) {
	f, c := brittleFleet(4, "16")
	choices := sendAll(f)
	assert.Equal(t, len(choices), 3)
	f.Started(choices[0])
	assert.Equal(t, len(sendAll(f)), 1)
	f.Done(choices[1], statedQuery, Busy, 0, false)
	c.now = c.now.Add(RefusalPause)
	assert.Equal(t, len(sendAll(f)), 0, "the rejection counts as well")
	c.now = c.now.Add(rejectionWindow)
	assert.Equal(t, len(sendAll(f)), 1)
}

// TestBrittleRunnerWithRoomGetsMore: what surely fits is not bounded, for as long as the load is
// fresh.
func TestBrittleRunnerWithRoomGetsMore(t *testing.T) {
	f, c := brittleFleet(4, "4")
	f.ObserveWorkload("r1", backend.Workload{})
	first, ok := f.Choose(statedQuery)
	assert.Assert(t, ok && f.Allowed(first, statedQuery), "it does not count against itself")
	f.Release(first, statedQuery)
	slots := f.Runners("s")[0].Slots
	assert.Equal(t, len(sendAll(f)), max(int(usedRoom*float64(slots))/4, 1))
	c.now = c.now.Add(roomLifetime)
	assert.Equal(t, len(sendAll(f)), 0)
	assert.Equal(t, len(f.TakeUnknownLoads(statedQuery)), 1)
	assert.Equal(t, len(f.TakeUnknownLoads(statedQuery)), 0, "asked just now")
}

// TestPartBelowOneNeedsPermits: where the nodes are more than the rejections that a runner
// endures, each request needs a permit.
func TestPartBelowOneNeedsPermits(t *testing.T) {
	f, c := brittleFleet(20, "4")
	assert.Equal(t, len(sendAll(f)), 1, "a calm runner is sent one")
	f.Done(Choice{Runner: f.Runners("s")[0]}, statedQuery, Busy, 0, false)
	c.now = c.now.Add(RefusalPause + rejectionWindow)
	assert.Equal(t, len(sendAll(f)), 0)
	wanted := f.PermitsWanted("s", statedQuery.Unit, statedQuery.Homes, 2)
	assert.Equal(t, len(wanted), 1)
	assert.Equal(t, wanted[0].Rate, 3.0)
	f.ApplyPermits([]PermitsLent{{Runner: "r1", Count: 1}}, c.now)
	assert.Equal(t, len(sendAll(f)), 1)
}

// TestRestartedRunnerIsBrittleLikeTheOthers: a runner that has just started and stated nothing is
// not sent everything that waited for it.
func TestRestartedRunnerIsBrittleLikeTheOthers(t *testing.T) {
	f, c := brittleFleet(4, "8", "r2")
	assert.Equal(t, len(sendAll(f)), 2, "one for each")
	c.now = c.now.Add(serviceBrittleLifetime)
	f.ObserveWorkload("r2", backend.Workload{})
	_, brittle := f.rejectionPart(f.runners["r2"])
	assert.Assert(t, brittle)
	f.Started(Choice{Runner: f.runners["r2"].listed})
	_, brittle = f.rejectionPart(f.runners["r2"])
	assert.Assert(t, !brittle, "it answered and did not say so")
}
