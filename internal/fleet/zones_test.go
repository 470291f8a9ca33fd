package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// zones holds the states of zones as a test sets them.
type zones struct {
	out      map[place.Zone]bool
	share    map[place.Zone]float64
	returned map[place.Zone]time.Time
}

func (z *zones) Drained(_, _ string) bool { return false }

func (z *zones) ZoneOut(zone place.Zone) bool { return z.out[zone] }

func (z *zones) Share(zone place.Zone) float64 {
	if share, ok := z.share[zone]; ok {
		return share
	}
	return 1
}

func zonedFleet(runners ...backend.Runner) (*Fleet, *zones, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	z := &zones{out: make(map[place.Zone]bool), share: make(map[place.Zone]float64), returned: make(map[place.Zone]time.Time)}
	f := New("zone-a", c.read, z)
	f.SetZones(z)
	f.Replace(runners, false)
	return f, z, c
}

func inZone(id, zone string, models ...string) backend.Runner {
	runner := listed(id, models...)
	runner.Zone = zone
	return runner
}

// TestZoneOutGetsNothing checks that a zone that was taken out gets neither requests nor
// load queries, and that nothing it holds or loads is expected to serve.
func TestZoneOutGetsNothing(t *testing.T) {
	f, z, _ := zonedFleet(inZone("r1", "zone-a", "m"), inZone("r2", "zone-b", "m"), inZone("r3", "zone-b", "m"))
	pending := backend.Unit{Model: "next"}
	f.ApplyViews([]View{{Runner: "r1", Ready: []backend.Holding{{Model: "m"}}, Pending: []PendingUnit{{Unit: pending, In: time.Second}}}}, 0)
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}}
	z.out["zone-a"] = true
	for range 20 {
		choice, ok := f.Choose(query)
		assert.Assert(t, ok && choice.Runner.ID != "r1")
		for _, candidate := range f.Candidates(query, 3) {
			assert.Assert(t, candidate.ID != "r1")
		}
	}
	_, expected := f.Expected("s", pending, place.Homes{})
	assert.Assert(t, !expected)
	assert.Equal(t, f.Refusal(query), eligible.Yes)
	z.out["zone-b"] = true
	_, ok := f.Choose(query)
	assert.Assert(t, !ok && !f.Holds("s", "m", place.Homes{}))
	assert.Equal(t, f.Refusal(query), eligible.ZoneOut)
}

// TestChosenRunnerIsCheckedAgain checks that a request is not sent to a runner chosen
// before its zone was taken out.
func TestChosenRunnerIsCheckedAgain(t *testing.T) {
	f, z, _ := zonedFleet(inZone("r1", "zone-a"))
	query := Query{Service: "s"}
	choice, ok := f.Choose(query)
	assert.Assert(t, ok && f.Allowed(choice, query))
	z.out["zone-a"] = true
	assert.Assert(t, !f.Allowed(choice, query))
}

// TestZoneAboutToBeTakenOutIsLastChoice checks that a zone about to be taken out serves only
// what no other runner holds.
func TestZoneAboutToBeTakenOutIsLastChoice(t *testing.T) {
	f, z, _ := zonedFleet(inZone("r1", "zone-a", "m", "only"), inZone("r2", "zone-b", "m"))
	z.share["zone-a"] = 0
	for range 20 {
		choice, _ := f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "m"}})
		assert.Equal(t, choice.Runner.ID, "r2")
	}
	choice, ok := f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "only"}})
	assert.Assert(t, ok && choice.Runner.ID == "r1")
}

// TestReturnedZoneGetsItsShare checks that a zone that was put back gets the share of the
// choices that is set, even if it is the nearest and idle.
func TestReturnedZoneGetsItsShare(t *testing.T) {
	f, z, _ := zonedFleet(inZone("r1", "zone-a"), inZone("r2", "zone-b"))
	const choices = 2000
	took := func(share float64) float64 {
		z.share["zone-a"] = share
		count := 0
		for range choices {
			choice, _ := f.Choose(Query{Service: "s"})
			if choice.Runner.ID == "r1" {
				count++
			}
			f.Done(choice, Query{Service: "s"}, Canceled, 0, false)
		}
		return float64(count) / choices
	}
	const spread = 0.1
	for _, share := range []float64{0.1, 0.5, 0.9} {
		part := took(share)
		assert.Assert(t, part > share-spread && part < share+spread, "share %v took %v", share, part)
	}
	assert.Equal(t, took(1), 1.0)
}

// TestRunnerOfReturnedZoneIsColdUntilItsNextRow checks that rows from before the zone was put
// back do not count.
func TestRunnerOfReturnedZoneIsColdUntilItsNextRow(t *testing.T) {
	f, z, c := zonedFleet(inZone("r1", "zone-a"), inZone("r2", "zone-b"))
	f.SetColdStarts(ColdStarts{
		Terms:    func(string) coldstart.Terms { return coldTerms },
		Returned: func(zone place.Zone) time.Time { return z.returned[zone] },
	})
	c.now = c.now.Add(time.Minute)
	z.returned["zone-a"] = c.now
	cold := f.Cold()
	assert.Assert(t, cold["r1"] > 0 && cold["r2"] == 0, "%v", cold)
	c.now = c.now.Add(time.Second)
	f.Apply([]backend.Runner{inZone("r1", "zone-a")}, nil, false)
	assert.Equal(t, f.Cold()["r1"], time.Duration(0))
}

// TestSharedPromptsLeaveTheZoneTogether checks that when a zone is about to be taken out,
// prompts that nodes sent to one runner there go to one other runner, the same for all nodes.
func TestSharedPromptsLeaveTheZoneTogether(t *testing.T) {
	const prompts = 20
	var runners []backend.Runner
	for i := range 8 {
		runners = append(runners, inZone(fmt.Sprint("r", i), []string{"zone-a", "zone-b"}[i%2], "m"))
	}
	for prompt := range prompts {
		query := Query{Service: "s", Unit: backend.Unit{Model: "m"}, Prompt: []Part{{ID: fmt.Sprint("shared", prompt), Tokens: 6000}, {ID: "own", Tokens: 10}}}
		chosen := make(map[string]bool)
		for range 5 {
			f, z, _ := zonedFleet(runners...)
			z.share["zone-a"] = 0
			choice, ok := f.Choose(query)
			assert.Assert(t, ok)
			chosen[choice.Runner.ID] = true
		}
		assert.Equal(t, len(chosen), 1, "prompt %d went to %v", prompt, chosen)
	}
}

// TestZoneOutsideTheHomesRefusesNothing checks that a zone which could not serve the request
// anyway is not given as the reason why it is refused.
func TestZoneOutsideTheHomesRefusesNothing(t *testing.T) {
	home, away := inZone("r1", "zone-a"), inZone("r2", "zone-b")
	home.Region, away.Region, home.Draining = "north", "south", true
	f, z, _ := zonedFleet(home, away)
	z.out["zone-b"] = true
	assert.Equal(t, f.Refusal(Query{Service: "s", Homes: north}), eligible.Draining)
	assert.Equal(t, f.Refusal(Query{Service: "s", Homes: south}), eligible.ZoneOut)
	assert.Equal(t, f.Refusal(Query{Service: "s"}), eligible.ZoneOut)
}
