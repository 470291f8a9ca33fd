package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/place"
)

var (
	coldTerms = coldstart.NewTerms(6.9, 1.5, 5, 3*time.Second, coldstart.Lent{})
	coldQuery = Query{Service: "s", Unit: backend.Unit{Model: "m"}}
)

// coldFleet knows the runners listed, of a service whose runners may be cold.
func coldFleet(runners ...backend.Runner) (*Fleet, *clock) {
	f, c := testFleet()
	f.SetColdStarts(ColdStarts{Terms: func(string) coldstart.Terms { return coldTerms }})
	f.Replace(runners, false)
	return f, c
}

// coldFor is a runner whose row says that it is cold for a time.
func coldFor(runner backend.Runner, left time.Duration) backend.Runner {
	runner.ColdFor = left
	return runner
}

func lend(f *Fleet, c *clock, runner string, count int) {
	f.ApplyPermits([]PermitsLent{{Runner: runner, Count: count}}, c.now)
}

// TestColdRunnerNeedsAPermit: each request sent takes one, and none goes without.
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
		t.Fatal("nobody was woken")
	}
	assert.Equal(t, len(f.PermitsWanted("s", coldQuery.Unit, place.Homes{}, 2)), 0, "there are permits")
	for range 2 {
		_, ok = f.Choose(coldQuery)
		assert.Assert(t, ok)
	}
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok)
	c.now = c.now.Add(2 * time.Second)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok, "it is warm")
	figures := f.ColdFigures()
	assert.DeepEqual(t, figures, ColdFigures{Lent: 2, Spent: 2, Refused: 1})
}

// TestWarmRunnersServeInPlaceOfACold: where one holds the model too, a cold one is not
// waited for, and is the dearer choice with a permit, the more so for the more urgent.
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
	assert.Equal(t, choice.Runner.ID, "r2", "it warms the runner")
}

// TestColdAgainAndAgain: a later row's word counts, a row that was heard before does not
// count anew, and no row at all makes a runner cold where none is.
func TestColdAgainAndAgain(t *testing.T) {
	f, c := coldFleet(listed("r1", "m"))
	for revision := uint64(1); revision <= 3; revision++ {
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

// TestNewcomerIsCold: one that came while the node ran, until a later row says otherwise.
func TestNewcomerIsCold(t *testing.T) {
	f, _ := coldFleet(listed("r1"))
	f.Apply([]backend.Runner{listed("r2", "m")}, nil, false)
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, !ok)
	f.Apply([]backend.Runner{listed("r2", "m")}, nil, false)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestRelistedRunnerIsNoNewcomer: a row that vanished and came back is believed, for a while.
func TestRelistedRunnerIsNoNewcomer(t *testing.T) {
	f, c := coldFleet(listed("r1", "m"))
	f.Apply(nil, []string{"r1"}, false)
	assert.Assert(t, !f.Known("r1"))
	f.Apply([]backend.Runner{listed("r1", "m")}, nil, false)
	_, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	f.Replace(nil, false)
	f.Done(Choice{Runner: listed("r1")}, coldQuery, Served, 0, true)
	assert.Assert(t, !f.Known("r1"))
	c.now = c.now.Add(leftLifetime + time.Second)
	f.Apply([]backend.Runner{listed("r2")}, nil, false)
	f.Apply(nil, []string{"r2"}, false)
	assert.Equal(t, len(f.left), 1, "only the last is remembered")
	f.Apply([]backend.Runner{listed("r1", "m")}, nil, false)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok)
}

// TestReturnedZoneIsCold: its runners are cold until their rows say otherwise.
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

// TestPermitIsExpectedInTime: by what the holder told, not later than the runner is warm,
// and not before somebody lends at all.
func TestPermitIsExpectedInTime(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second))
	in, known := f.PermitIn(coldQuery)
	assert.Assert(t, known && in < 100*time.Millisecond, in)
	f.ApplyPermits([]PermitsLent{{Runner: "r1", Next: 700 * time.Millisecond}, {Runner: "unknown", Count: 3}}, c.now)
	in, _ = f.PermitIn(coldQuery)
	assert.Assert(t, in >= 700*time.Millisecond && in < time.Second, in)
	f.SetOrdersIn("s", time.Minute)
	in, _ = f.PermitIn(coldQuery)
	assert.Equal(t, in, 2*time.Second)
	_, known = f.PermitIn(Query{Service: "s", Unit: backend.Unit{Model: "other"}})
	assert.Assert(t, !known)
}

// TestPermitsAreWantedNearFirst: as many as wait, spread over the holders of the model,
// those first that are near and that the holder expects to lend for.
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
	assert.Equal(t, len(f.PermitsWanted("s", backend.Unit{Model: "other"}, place.Homes{}, 3)), 0, "a warm runner holds it")
}

// TestQuestionsTakeNoPermit: asking for candidates sends nothing.
func TestQuestionsTakeNoPermit(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second), listed("r2", "m"))
	lend(f, c, "r1", 1)
	for range 5 {
		assert.Equal(t, len(f.Candidates(coldQuery, 2)), 2)
	}
	assert.Equal(t, f.ColdFigures().Spent, uint64(0))
}

// TestShareGrowsAfterTheCold: a runner that was cold just now does not attract all that
// comes for its empty queue.
func TestShareGrowsAfterTheCold(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), time.Second), listed("r2", "m"))
	c.now = c.now.Add(time.Second)
	f.Told("r2", backend.Workload{Running: 3})
	at := map[string]int{}
	for range 3 {
		choice, ok := f.Choose(coldQuery)
		assert.Assert(t, ok)
		at[choice.Runner.ID]++
	}
	assert.Equal(t, at["r1"], 1)
}

// TestColdNews: each becoming cold and warm is told once, and what waits is woken.
func TestColdNews(t *testing.T) {
	f, c := coldFleet(coldFor(listed("r1", "m"), 2*time.Second), listed("r2", "m"))
	news, next := f.TakeColdNews()
	assert.Equal(t, len(news), 1)
	assert.Assert(t, news[0].Cold && news[0].Said && news[0].For == 2*time.Second && news[0].Terms.Bound == 15)
	assert.Equal(t, next, 2*time.Second)
	assert.Equal(t, f.ColdFigures().Cold, 1)
	changed := f.Changed()
	c.now = c.now.Add(2 * time.Second)
	news, next = f.TakeColdNews()
	assert.Equal(t, len(news), 1)
	assert.Assert(t, !news[0].Cold)
	assert.Equal(t, next, time.Duration(0))
	select {
	case <-changed:
	default:
		t.Fatal("nobody was woken")
	}
	news, _ = f.TakeColdNews()
	assert.Equal(t, len(news), 0)
}

// TestPermitsAreAskedForInHomes: for requests with homes of the runners there alone, how
// near others may be.
func TestPermitsAreAskedForInHomes(t *testing.T) {
	near, far := coldFor(listed("r1", "m"), 2*time.Second), coldFor(listed("r2", "m"), 2*time.Second)
	near.Region, far.Region, far.Zone = "north", "south", "zone-far"
	f, _ := coldFleet(near, far)
	assert.DeepEqual(t, f.PermitsWanted("s", coldQuery.Unit, south, 3), []PermitsWanted{{Runner: "r2", Count: 3}})
	assert.Equal(t, len(f.PermitsWanted("s", coldQuery.Unit, place.Homes{}, 3)), 2)
}

// TestReservedColdRunnerKeepsItsPermit: what was spent when it was chosen is for the request
// that goes on there, once, and until the permit has run out.
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
	assert.Assert(t, !f.Allowed(choice, coldQuery), "the new permit is another request's")
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestReservedRunnerThatBecameCold: no permit was spent for it, so it gets nothing.
func TestReservedRunnerThatBecameCold(t *testing.T) {
	f, c := coldFleet(listed("r1", "m"))
	choice, ok := f.Choose(coldQuery)
	assert.Assert(t, ok)
	row := coldFor(listed("r1", "m"), time.Minute)
	row.Revision = 1
	f.Apply([]backend.Runner{row}, nil, false)
	assert.Assert(t, !f.Allowed(choice, coldQuery))
	lend(f, c, "r1", 1)
	assert.Assert(t, !f.Allowed(choice, coldQuery), "the permit is another request's")
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
}

// TestPermitOfARequestThatWasNotSentIsGivenBack: to what waits for one, for as long as it
// would have held.
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
		t.Fatal("nobody was woken")
	}
	assert.Equal(t, f.ColdFigures().Spent, uint64(0))
	choice, ok = f.Choose(coldQuery)
	assert.Assert(t, ok)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok, "one came back, not more")
	c.now = c.now.Add(coldstart.Validity)
	f.Release(choice, coldQuery)
	_, ok = f.Choose(coldQuery)
	assert.Assert(t, !ok, "it has run out")
}
