package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/place"
	"lilacvane/internal/table"
)

var (
	coldTerms = coldstart.NewTerms(6.9, 1.5, 5, 3*time.Second, coldstart.Lent{})
	coldQuery = Query{Service: "s", Unit: backend.Unit{Model: "m"}}
)

// coldFleet returns a fleet of the given runners, of a service whose runners may be cold.
func coldFleet(runners ...backend.Runner) (*Fleet, *clock) {
	f, c := testFleet()
	f.SetColdStarts(ColdStarts{Terms: func(string) coldstart.Terms { return coldTerms }})
	f.Replace(runners, false)
	return f, c
}

// coldFor returns a runner whose row reports that it stays cold for that time.
func coldFor(runner backend.Runner, left time.Duration) backend.Runner {
	runner.ColdFor = left
	return runner
}

func lend(f *Fleet, c *clock, runner string, count int) {
	f.ApplyPermits([]PermitsLent{{Runner: runner, Count: count}}, c.now)
}

// TestColdRunnerNeedsAPermit checks that each request sent to a cold runner takes a permit and
// none is sent without.
func TestColdRunnerNeedsAPermit(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second))
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, !ok)
	assert.Assert(t, f.WaitsForPermit(coldQuery))
	assert.DeepEqual(t, f.PermitsWanted("s", coldQuery.Unit, place.Homes{}, 2), []PermitsWanted{{Runner: "r1", Count: 2}})
	changed := f.Changed()
	lend(f, c, "r1", 2)
	select {
	case <-changed:
	default:
		t.Fatal("waiting requests were not woken")
	}
	assert.Equal(t, len(f.PermitsWanted("s", coldQuery.Unit, place.Homes{}, 2)), 0, "there are permits left")
	for range 2 {
		_, ok = f.Choose(coldQuery)
		assert.Assert(t, ok)
	}
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok)
	c.now = c.now.Add(2 * time.Second)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok, "the runner is warm")
	figures := f.ColdFigures()
	assert.DeepEqual(t, figures, ColdFigures{Lent: 2, Spent: 2, Refused: 1})
}

// TestWarmRunnersServeInPlaceOfACold checks that a request does not wait for a cold runner
// while a warm one holds the model. Even with a permit the cold one costs more, and the more
// urgent the request the more so.
func TestWarmRunnersServeInPlaceOfACold(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r2", "m"), 2*time.Second), listed("r1", "m"))
	choice, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Runner.ID, "r1")
	lend(f, c, "r2", 2)
	choice, _ = f.Choose(coldQuery)
	assert.Equal(t, choice.Runner.ID, "r1")
	patient := coldQuery
	patient.Priority = 500
	choice, _ = f.Choose(patient)
	assert.Equal(t, choice.Runner.ID, "r2", "a patient request warms the runner")
}

// TestNewerRowMakesRunnerCold checks that the cold state of a newer row counts, that a row
// applied before does not count again, and that no row makes a runner cold where the terms
// allow none.
func TestNewerRowMakesRunnerCold(t *testing.T) {
	f, c := coldFleet(listed("r1", "m"))
	for revision := table.Revision(1); revision <= 3; revision++ {
		_, ok := f.Choose(coldQuery)
		assert.Assert(t, ok)
		row := coldFor(listed("r1", "m"), time.Second)
		row.Revision = revision
		f.Apply([]backend.Runner{row}, nil, false)
		_, ok = f.Choose(coldQuery)
		assert.Assert(t, !ok)
		c.now = c.now.Add(time.Second)
		f.Replace([]backend.Runner{row}, false)
	}
	f.SetColdStarts(ColdStarts{Terms: func(string) coldstart.Terms { return coldstart.Terms{} }})
	f.Apply([]backend.Runner{coldFor(listed("r1", "m"), time.Hour)}, nil, false)
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestNewRunnerIsCold checks that a runner first listed while the node runs is cold until a
// later row reports otherwise.
func TestNewRunnerIsCold(t *testing.T) {
	f, _ := coldFleet(listed("r1"))
	f.Apply([]backend.Runner{listed("r2", "m")}, nil, false)
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, !ok)
	f.Apply([]backend.Runner{listed("r2", "m")}, nil, false)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestRelistedRunnerIsNotNew checks that the row of a runner that vanished and came back
// is applied, for a limited time.
func TestRelistedRunnerIsNotNew(t *testing.T) {
	f, c := coldFleet(listed("r1", "m"))
	f.Apply(nil, []string{"r1"}, false)
	assert.Assert(t, !f.Known("r1"))
	f.Apply([]backend.Runner{listed("r1", "m")}, nil, false)
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	f.Replace(nil, false)
	f.Done(Choice{Runner: listed("r1")}, coldQuery, Served, 0, true)
	assert.Assert(t, !f.Known("r1"))
	c.now = c.now.Add(departureLifetime + time.Second)
	f.Apply([]backend.Runner{listed("r2")}, nil, false)
	f.Apply(nil, []string{"r2"}, false)
	assert.Equal(t, len(f.departures), 1, "only the last departure is remembered")
	f.Apply([]backend.Runner{listed("r1", "m")}, nil, false)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok)
}

// TestReturnedZoneIsCold checks that the runners of a zone that was put back are cold for the
// usual duration of a cold start.
func TestReturnedZoneIsCold(t *testing.T) {
	f, c := testFleet()
	var returned time.Time
	f.SetColdStarts(ColdStarts{
		Terms:    func(string) coldstart.Terms { return coldTerms },
		Returned: func(place.Zone) time.Time { return returned },
	})
	f.Replace([]backend.Runner{listed("r1", "m")}, false)
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	c.now = c.now.Add(time.Second)
	returned = c.now
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok)
	c.now = c.now.Add(coldTerms.Start)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestPermitIsExpectedInTime checks that the expected time of a permit follows what the holder
// stated, is not later than when the runner is warm, and not earlier than a holder lends at
// all.
func TestPermitIsExpectedInTime(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second))
	in, ok := f.PermitIn(coldQuery)
	assert.Assert(t, ok && in < 100*time.Millisecond, in)
	f.ApplyPermits([]PermitsLent{{Runner: "r1", Next: 700 * time.Millisecond}, {Runner: "unknown", Count: 3}}, c.now)
	in, _ = f.PermitIn(coldQuery)
	assert.Assert(t, in >= 700*time.Millisecond && in < time.Second, in)
	f.SetOrdersIn("s", time.Minute)
	in, _ = f.PermitIn(coldQuery)
	assert.Equal(t, in, 2*time.Second)
	_, ok = f.PermitIn(Query{Service: "s", Unit: backend.Unit{Model: "other"}})
	assert.Assert(t, !ok)
}

// TestPermitsAreWantedNearFirst checks that as many permits are requested as requests wait,
// spread over the runners that hold the model: first the near ones, last those for which the
// holder lends later.
func TestPermitsAreWantedNearFirst(t *testing.T) {
	far := coldFor(listed("far", "m"), time.Minute)
	far.Zone = "zone-b"
	f, c := coldFleet(far, coldFor(listed("near", "m"), time.Minute), coldFor(listed("lent", "m"), time.Minute), listed("warm", "other"))
	f.ApplyPermits([]PermitsLent{{Runner: "lent", Next: time.Second}}, c.now)
	for count, wanted := range map[int][]PermitsWanted{
		1: {{Runner: "near", Count: 1}},
		2: {{Runner: "near", Count: 1}, {Runner: "far", Count: 1}},
		5: {{Runner: "near", Count: 2}, {Runner: "far", Count: 2}, {Runner: "lent", Count: 1}},
	} {
		assert.DeepEqual(t, f.PermitsWanted("s", coldQuery.Unit, place.Homes{}, count), wanted)
	}
	assert.Equal(t, len(f.PermitsWanted("s", backend.Unit{Model: "other"}, place.Homes{}, 3)), 0, "a warm runner holds the unit")
}

// TestLoadQueriesTakeNoPermit checks that asking for candidates spends no permit.
func TestLoadQueriesTakeNoPermit(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second), listed("r2", "m"))
	lend(f, c, "r1", 1)
	for range 5 {
		assert.Equal(t, len(f.Candidates(coldQuery, 2)), 2)
	}
	assert.Equal(t, f.ColdFigures().Spent, uint64(0))
}

// TestShareGrowsAfterTheCold checks that a runner that was just cold does not attract all
// requests because its queue is empty.
func TestShareGrowsAfterTheCold(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), time.Second), listed("r2", "m"))
	c.now = c.now.Add(time.Second)
	f.ObserveWorkload("r2", backend.Workload{Running: 3})
	at := map[string]int{}
	for range 3 {
		choice, ok := f.Choose(coldQuery)
		assert.Assert(t, ok)
		at[choice.Runner.ID]++
	}
	assert.Equal(t, at["r1"], 1)
}

// TestColdChanges checks that each change to cold or warm is returned once and that waiting
// requests are woken.
func TestColdChanges(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second), listed("r2", "m"))
	changes, next := f.TakeColdChanges()
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Cold && changes[0].Reported && changes[0].For == 2*time.Second && changes[0].Terms.Bound == 15)
	assert.Equal(t, next, 2*time.Second)
	assert.Equal(t, f.ColdFigures().Cold, 1)
	changed := f.Changed()
	c.now = c.now.Add(2 * time.Second)
	changes, next = f.TakeColdChanges()
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].Cold)
	assert.Equal(t, next, time.Duration(0))
	select {
	case <-changed:
	default:
		t.Fatal("waiting requests were not woken")
	}
	changes, _ = f.TakeColdChanges()
	assert.Equal(t, len(changes), 0)
}

// TestPermitsAreAskedForInHomes checks that requests with homes ask for permits of the runners
// there only, even if others are nearer.
func TestPermitsAreAskedForInHomes(t *testing.T) {
	near, far := coldFor(listed("r1", "m"), 2*time.Second), coldFor(listed("r2", "m"), 2*time.Second)
	near.Region, far.Region, far.Zone = "north", "south", "zone-far"
	f, _ := coldFleet(near, far)
	assert.DeepEqual(t, f.PermitsWanted("s", coldQuery.Unit, south, 3), []PermitsWanted{{Runner: "r2", Count: 3}})
	assert.Equal(t, len(f.PermitsWanted("s", coldQuery.Unit, place.Homes{}, 3)), 2)
}

// TestReservedColdRunnerKeepsItsPermit checks that the permit spent when a runner was chosen
// lets that request proceed, until the permit expires.
func TestReservedColdRunnerKeepsItsPermit(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), time.Minute))
	lend(f, c, "r1", 1)
	choice, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	c.now = c.now.Add(coldstart.Validity - time.Millisecond)
	assert.Assert(t, f.Allowed(choice, coldQuery))
	c.now = c.now.Add(time.Millisecond)
	assert.Assert(t, !f.Allowed(choice, coldQuery))
	lend(f, c, "r1", 1)
	assert.Assert(t, !f.Allowed(choice, coldQuery), "the new permit belongs to another request")
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestReservedRunnerThatBecameCold checks that a request is not sent to a runner that became
// cold after it was chosen, as no permit was spent.
func TestReservedRunnerThatBecameCold(t *testing.T) {
	f, c := coldFleet(listed("r1", "m"))
	choice, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	row := coldFor(listed("r1", "m"), time.Minute)
	row.Revision = 1
	f.Apply([]backend.Runner{row}, nil, false)
	assert.Assert(t, !f.Allowed(choice, coldQuery))
	lend(f, c, "r1", 1)
	assert.Assert(t, !f.Allowed(choice, coldQuery), "the permit belongs to another request")
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestPermitOfARequestThatWasNotSentIsGivenBack checks that an unused permit goes back to the
// waiting requests, with its original expiry.
func TestPermitOfARequestThatWasNotSentIsGivenBack(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), time.Minute))
	lend(f, c, "r1", 1)
	choice, ok := f.Choose(coldQuery)
	assert.Assert(t, ok && !f.WaitsForPermit(Query{Service: "s", Unit: backend.Unit{Model: "other"}}))
	changed := f.Changed()
	f.Release(choice, coldQuery)
	select {
	case <-changed:
	default:
		t.Fatal("waiting requests were not woken")
	}
	assert.Equal(t, f.ColdFigures().Spent, uint64(0))
	choice, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok, "only one permit was returned")
	c.now = c.now.Add(coldstart.Validity)
	f.Release(choice, coldQuery)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok, "the permit has expired")
}
