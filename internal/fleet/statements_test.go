package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
	"lilacvane/internal/statement"
)

const (
	leavingHeader = "X-Leaves"
	limitHeader   = "X-Limit"
)

// statedFleet returns a fleet of runners that hold model m, and the registry of their
// statements.
func statedFleet(names ...string) (*Fleet, *statement.Registry, *clock) {
	f, c := testFleet()
	registry := statement.NewRegistry(statement.Options{
		Headers: statement.Headers{Leaving: leavingHeader, Limit: limitHeader, Brittle: brittleHeader}, Now: c.read, Log: logr.Discard(),
		Limits: func() statement.Limits {
			return statement.Limits{LongestRest: time.Minute, UnreadableRest: time.Second, LeavingFor: 5 * time.Minute, LeastRate: 0.1, LimitFor: time.Minute}
		},
	})
	f.SetStatements(registry)
	var runners []backend.Runner
	for _, name := range names {
		runners = append(runners, listed(name, "m"))
	}
	f.Replace(runners, false)
	return f, registry, c
}

// sayLeaving records an answer in which a runner states that it is leaving.
func sayLeaving(registry *statement.Registry, id string) {
	registry.ReadHeader(statement.Source{Runner: id}, http.StatusOK, http.Header{leavingHeader: {"1"}})
}

var statedQuery = Query{Service: "s", Unit: backend.Unit{Model: "m"}}

// TestRunnerThatSaysItLeavesGetsNothing checks that a runner which stated in an answer that it
// is leaving gets no requests and no load queries, even if its row still reports that it is
// ready or is listed again.
func TestRunnerThatSaysItLeavesGetsNothing(t *testing.T) {
	f, registry, c := statedFleet("r1", "r2", "r3")
	before, ok := f.Choose(statedQuery)
	assert.Assert(t, ok)
	sayLeaving(registry, before.Runner.ID)
	assert.Assert(t, !f.Allowed(before, statedQuery), "a request for which it was chosen earlier may still be sent")
	f.Apply([]backend.Runner{listed(before.Runner.ID, "m")}, nil, false)
	for range 20 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok && choice.Runner.ID != before.Runner.ID)
		for _, candidate := range f.Candidates(statedQuery, 3) {
			assert.Assert(t, candidate.ID != before.Runner.ID)
		}
	}
	assert.Equal(t, f.Zones()["zone-a"], StateCounts{Ready: 2, Draining: 1})
	// Its row expires while the store is down and comes back.
	f.Replace([]backend.Runner{listed("r2", "m"), listed("r3", "m")}, true)
	c.now = c.now.Add(missingLifetime + time.Second)
	f.Replace([]backend.Runner{listed("r1", "m"), listed("r2", "m"), listed("r3", "m")}, false)
	for range 20 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok && choice.Runner.ID != before.Runner.ID)
	}
}

// TestLaterIncarnationDoesNotLeave checks that a statement of an earlier incarnation does not
// apply to a later one.
func TestLaterIncarnationDoesNotLeave(t *testing.T) {
	f, registry, _ := statedFleet()
	born := func(at int64) backend.Runner {
		runner := listed(backend.IncarnationID("r1", at), "m")
		runner.Born = at
		return runner
	}
	f.Apply([]backend.Runner{born(1)}, nil, false)
	sayLeaving(registry, born(1).ID)
	assert.Assert(t, f.AllDraining(statedQuery))
	f.Apply([]backend.Runner{born(2)}, nil, false)
	sayLeaving(registry, born(1).ID)
	choice, ok := f.Choose(statedQuery)
	assert.Assert(t, ok && choice.Runner.ID == born(2).ID)
}

// TestAllDraining checks that runners of other services and departed runners do not count.
func TestAllDraining(t *testing.T) {
	f, registry, _ := statedFleet("r1", "r2")
	assert.Assert(t, !f.AllDraining(Query{Service: "other"}), "the service has no runners")
	sayLeaving(registry, "r1")
	assert.Assert(t, !f.AllDraining(statedQuery))
	sayLeaving(registry, "r2")
	assert.Assert(t, f.AllDraining(statedQuery))
	assert.Equal(t, f.Refusal(statedQuery), eligible.Draining)
	f.Apply([]backend.Runner{listed("r3")}, nil, false)
	assert.Assert(t, !f.AllDraining(statedQuery), "a runner without the model may load it")
}

// askRest records a refusal in which a runner asks for a rest.
func askRest(registry *statement.Registry, id, seconds string) {
	registry.ReadHeader(statement.Source{Runner: id}, http.StatusServiceUnavailable, http.Header{"Retry-After": {seconds}})
}

// answer records that a runner answered a request.
func answer(f *Fleet, registry *statement.Registry, choice Choice) {
	registry.ReadHeader(statement.Source{Runner: choice.Runner.ID, Request: "q"}, http.StatusOK, http.Header{})
	f.Started(choice)
	f.Done(choice, statedQuery, Served, time.Millisecond, true)
}

// TestRunnerThatRestsGetsNothing checks that a resting runner gets no requests for any unit
// until its rest has ended, and that other runners are chosen.
func TestRunnerThatRestsGetsNothing(t *testing.T) {
	f, registry, c := statedFleet("r1", "r2")
	f.Apply([]backend.Runner{listed("r1", "m", "other")}, nil, false)
	askRest(registry, "r1", "3")
	for range 20 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok && choice.Runner.ID == "r2")
		f.Release(choice, statedQuery)
	}
	other := Query{Service: "s", Unit: backend.Unit{Model: "other"}}
	_, ok := f.Choose(other)
	assert.Assert(t, !ok, "a resting runner got a request for another model")
	assert.Assert(t, f.Holds("s", "other", other.Homes), "a resting runner still holds its model")
	assert.Equal(t, f.Obstacles(other).MainReason().String(), "resting")
	in, _, rests := f.RestEndsIn(other)
	assert.Assert(t, rests && in == 3*time.Second, "%s", in)
	c.now = c.now.Add(3 * time.Second)
	choice, ok := f.Choose(other)
	assert.Assert(t, ok && choice.Runner.ID == "r1")
}

// TestRunnerReturnsByDegrees checks that after its rest a runner gets two requests at once,
// then more with each answer until there is no limit, and that another refusal starts this
// again.
func TestRunnerReturnsByDegrees(t *testing.T) {
	f, registry, c := statedFleet("r1")
	take := func() (taken []Choice) {
		for range 100 {
			choice, ok := f.Choose(statedQuery)
			if !ok {
				break
			}
			taken = append(taken, choice)
		}
		return taken
	}
	askRest(registry, "r1", "1")
	assert.Equal(t, len(take()), 0)
	c.now = c.now.Add(time.Second)
	for _, together := range []int{2, 4, 8, 16, 32, 100} {
		taken := take()
		assert.Equal(t, len(taken), together)
		for _, choice := range taken {
			answer(f, registry, choice)
		}
	}
	askRest(registry, "r1", "1")
	c.now = c.now.Add(time.Second)
	assert.Equal(t, len(take()), 2)
	in, capacity, rests := f.RestEndsIn(statedQuery)
	assert.Assert(t, rests && in == restRecheckInterval && capacity == minRestCapacity, "%s %d", in, capacity)
}

// TestRetryAfterRestCountsRefusedRequests checks that requests refused later are told to come
// back later, by the runner's answer time and its slots.
func TestRetryAfterRestCountsRefusedRequests(t *testing.T) {
	f, registry, c := statedFleet("r1")
	for range 200 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok)
		f.Done(choice, statedQuery, Served, 400*time.Millisecond, false)
	}
	assert.Equal(t, f.RetryAfterRest(statedQuery), time.Duration(0))
	askRest(registry, "r1", "2")
	first := f.RetryAfterRest(statedQuery)
	assert.Equal(t, first, 2*time.Second)
	for range 9 {
		f.RetryAfterRest(statedQuery)
	}
	eleventh := f.RetryAfterRest(statedQuery)
	assert.Assert(t, eleventh > 2900*time.Millisecond && eleventh <= 3*time.Second, "%s", eleventh)
	c.now = c.now.Add(3 * time.Second)
	askRest(registry, "r1", "2")
	assert.Equal(t, f.RetryAfterRest(statedQuery), 2*time.Second, "the next rest starts anew")
}

// TestCapacityOfRestingRunner checks that the capacity of a resting runner is the number of
// requests it was answering when the rest began.
func TestCapacityOfRestingRunner(t *testing.T) {
	f, registry, _ := statedFleet("r1")
	for range 5 {
		choice, _ := f.Choose(statedQuery)
		f.Started(choice)
	}
	refused, _ := f.Choose(statedQuery)
	askRest(registry, "r1", "2")
	f.Done(refused, statedQuery, Busy, time.Millisecond, false)
	_, capacity, rests := f.RestEndsIn(statedQuery)
	assert.Assert(t, rests)
	assert.Equal(t, capacity, 5)
	for want := range 3 {
		ahead, end := f.AwaitRest(statedQuery)
		assert.Equal(t, ahead, want)
		defer end()
	}
}

// TestRunnerThatStatedALimitNeedsAPermit checks that each request to a runner that stated a
// limit takes a permit, and that the limit ends with an answer that states none.
func TestRunnerThatStatedALimitNeedsAPermit(t *testing.T) {
	f, registry, c := statedFleet("r1")
	f.SetColdStarts(ColdStarts{
		Terms: func(string) coldstart.Terms { return coldstart.Terms{} },
		Limit: func(rate float64, lent bool) coldstart.Terms {
			assert.Assert(t, lent)
			return coldstart.NewLimit(rate, coldstart.Lent{})
		},
	})
	f.RecordLender("s")
	before, ok := f.Choose(statedQuery)
	assert.Assert(t, ok)
	named := http.Header{limitHeader: {"2"}}
	registry.ReadHeader(statement.Source{Runner: "r1", Request: "a"}, http.StatusOK, named)
	assert.Assert(t, !f.Allowed(before, statedQuery), "a request for which it was chosen earlier may still be sent")
	_, ok = f.Choose(statedQuery)
	assert.Assert(t, !ok)
	assert.Assert(t, f.WaitsForPermit(statedQuery))
	assert.Equal(t, f.eligibility(f.runners["r1"], request(statedQuery)), eligible.Limited)
	assert.DeepEqual(t, f.PermitsWanted("s", statedQuery.Unit, place.Homes{}, 1), []PermitsWanted{{Runner: "r1", Count: 1, Rate: 2}})
	f.ApplyPermits([]PermitsLent{{Runner: "r1", Count: 1}}, c.now)
	chosen, ok := f.Choose(statedQuery)
	assert.Assert(t, ok && f.Allowed(chosen, statedQuery))
	_, ok = f.Choose(statedQuery)
	assert.Assert(t, !ok)
	c.now = c.now.Add(time.Second)
	registry.ReadHeader(statement.Source{Runner: "r1", Request: "b"}, http.StatusOK, http.Header{})
	_, ok = f.Choose(statedQuery)
	assert.Assert(t, ok)
}
