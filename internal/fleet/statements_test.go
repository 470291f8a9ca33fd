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

// statedFleet is a fleet of runners of model m, and what they state.
func statedFleet(names ...string) (*Fleet, *statement.Book, *clock) {
	f, c := testFleet()
	book := statement.NewBook(statement.Options{
		Headers: statement.Headers{Leaving: leavingHeader, Limit: limitHeader}, Now: c.read, Log: logr.Discard(),
		Limits: func() statement.Limits {
			return statement.Limits{LongestRest: time.Minute, UnreadableRest: time.Second, LeavingFor: 5 * time.Minute, LeastRate: 0.1, LimitFor: time.Minute}
		},
	})
	f.SetStatements(book)
	var runners []backend.Runner
	for _, name := range names {
		runners = append(runners, listed(name, "m"))
	}
	f.Replace(runners, false)
	return f, book, c
}

// sayLeaving lets a runner say in an answer that it leaves.
func sayLeaving(book *statement.Book, id string) {
	book.Hear(statement.Source{Runner: id}, http.StatusOK, http.Header{leavingHeader: {"1"}})
}

var statedQuery = Query{Service: "s", Unit: backend.Unit{Model: "m"}}

// TestRunnerThatSaysItLeavesGetsNothing: neither requests nor questions go to a runner that said
// in an answer that it leaves, also when its row still says that it is ready, or comes again.
func TestRunnerThatSaysItLeavesGetsNothing(t *testing.T) {
	f, book, c := statedFleet("r1", "r2", "r3")
	before, ok := f.Choose(statedQuery)
	assert.Assert(t, ok)
	sayLeaving(book, before.Runner.ID)
	assert.Assert(t, !f.Allowed(before, statedQuery), "one that was chosen before goes there")
	f.Apply([]backend.Runner{listed(before.Runner.ID, "m")}, nil, false)
	for range 20 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok && choice.Runner.ID != before.Runner.ID)
		for _, candidate := range f.Candidates(statedQuery, 3) {
			assert.Assert(t, candidate.ID != before.Runner.ID)
		}
	}
	assert.Equal(t, f.Zones()["zone-a"], Standing{Ready: 2, Draining: 1})
	// Its row lapses while the store is away, and comes back.
	f.Replace([]backend.Runner{listed("r2", "m"), listed("r3", "m")}, true)
	c.now = c.now.Add(missingLifetime + time.Second)
	f.Replace([]backend.Runner{listed("r1", "m"), listed("r2", "m"), listed("r3", "m")}, false)
	for range 20 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok && choice.Runner.ID != before.Runner.ID)
	}
}

// TestLaterIncarnationDoesNotLeave: what an earlier incarnation said does not bind a later one.
func TestLaterIncarnationDoesNotLeave(t *testing.T) {
	f, book, _ := statedFleet()
	born := func(at int64) backend.Runner {
		runner := listed(backend.IncarnationID("r1", at), "m")
		runner.Born = at
		return runner
	}
	f.Apply([]backend.Runner{born(1)}, nil, false)
	sayLeaving(book, born(1).ID)
	assert.Assert(t, f.AllLeave(statedQuery))
	f.Apply([]backend.Runner{born(2)}, nil, false)
	sayLeaving(book, born(1).ID)
	choice, ok := f.Choose(statedQuery)
	assert.Assert(t, ok && choice.Runner.ID == born(2).ID)
}

// TestAllLeave: runners of other services, and those that are gone, do not count.
func TestAllLeave(t *testing.T) {
	f, book, _ := statedFleet("r1", "r2")
	assert.Assert(t, !f.AllLeave(Query{Service: "other"}), "there is none")
	sayLeaving(book, "r1")
	assert.Assert(t, !f.AllLeave(statedQuery))
	sayLeaving(book, "r2")
	assert.Assert(t, f.AllLeave(statedQuery))
	assert.Equal(t, f.Refusal(statedQuery), eligible.Draining)
	f.Apply([]backend.Runner{listed("r3")}, nil, false)
	assert.Assert(t, !f.AllLeave(statedQuery), "one without the model may load it")
}

// askRest lets a runner ask for a rest as it turns a request away.
func askRest(book *statement.Book, id, seconds string) {
	book.Hear(statement.Source{Runner: id}, http.StatusServiceUnavailable, http.Header{"Retry-After": {seconds}})
}

// answer lets a runner answer a request.
func answer(f *Fleet, book *statement.Book, choice Choice) {
	book.Hear(statement.Source{Runner: choice.Runner.ID, Request: "q"}, http.StatusOK, http.Header{})
	f.Started(choice)
	f.Done(choice, statedQuery, Served, time.Millisecond, true)
}

// TestRunnerThatRestsGetsNothing: for any unit, until its rest has ended; others are chosen.
func TestRunnerThatRestsGetsNothing(t *testing.T) {
	f, book, c := statedFleet("r1", "r2")
	f.Apply([]backend.Runner{listed("r1", "m", "other")}, nil, false)
	askRest(book, "r1", "3")
	for range 20 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok && choice.Runner.ID == "r2")
		f.Release(choice, statedQuery)
	}
	other := Query{Service: "s", Unit: backend.Unit{Model: "other"}}
	_, ok := f.Choose(other)
	assert.Assert(t, !ok, "of another model")
	assert.Assert(t, f.Holds("s", "other", other.Homes), "it holds it all the same")
	assert.Equal(t, f.Obstacles(other).Main().String(), "resting")
	in, _, rests := f.RestEndsIn(other)
	assert.Assert(t, rests && in == 3*time.Second, "%s", in)
	c.now = c.now.Add(3 * time.Second)
	choice, ok := f.Choose(other)
	assert.Assert(t, ok && choice.Runner.ID == "r1")
}

// TestRunnerReturnsByDegrees: after its rest a runner gets two requests, then more with each
// answer, until it takes any number; another refusal starts anew.
func TestRunnerReturnsByDegrees(t *testing.T) {
	f, book, c := statedFleet("r1")
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
	askRest(book, "r1", "1")
	assert.Equal(t, len(take()), 0)
	c.now = c.now.Add(time.Second)
	for _, together := range []int{2, 4, 8, 16, 32, 100} {
		taken := take()
		assert.Equal(t, len(taken), together)
		for _, choice := range taken {
			answer(f, book, choice)
		}
	}
	askRest(book, "r1", "1")
	c.now = c.now.Add(time.Second)
	assert.Equal(t, len(take()), 2)
	in, room, rests := f.RestEndsIn(statedQuery)
	assert.Assert(t, rests && in == returnLook && room == leastTaken, "%s %d", in, room)
}

// TestReturnIsTrueForTheNumberThatWaits: who is refused later comes back later, by the runner's
// time for an answer and its slots.
func TestReturnIsTrueForTheNumberThatWaits(t *testing.T) {
	f, book, c := statedFleet("r1")
	for range 200 {
		choice, ok := f.Choose(statedQuery)
		assert.Assert(t, ok)
		f.Done(choice, statedQuery, Served, 400*time.Millisecond, false)
	}
	assert.Equal(t, f.ReturnAfterRest(statedQuery), time.Duration(0))
	askRest(book, "r1", "2")
	first := f.ReturnAfterRest(statedQuery)
	assert.Equal(t, first, 2*time.Second)
	for range 9 {
		f.ReturnAfterRest(statedQuery)
	}
	eleventh := f.ReturnAfterRest(statedQuery)
	assert.Assert(t, eleventh > 2900*time.Millisecond && eleventh <= 3*time.Second, "%s", eleventh)
	c.now = c.now.Add(3 * time.Second)
	askRest(book, "r1", "2")
	assert.Equal(t, f.ReturnAfterRest(statedQuery), 2*time.Second, "of the next rest")
}

// TestRoomIsWhatARunnerTook: as many wait for its return as it was answering when it began to
// rest.
func TestRoomIsWhatARunnerTook(t *testing.T) {
	f, book, _ := statedFleet("r1")
	for range 5 {
		choice, _ := f.Choose(statedQuery)
		f.Started(choice)
	}
	refused, _ := f.Choose(statedQuery)
	askRest(book, "r1", "2")
	f.Done(refused, statedQuery, Busy, time.Millisecond, false)
	_, room, rests := f.RestEndsIn(statedQuery)
	assert.Assert(t, rests)
	assert.Equal(t, room, 5)
	for want := range 3 {
		ahead, end := f.AwaitRest(statedQuery)
		assert.Equal(t, ahead, want)
		defer end()
	}
}

// TestRunnerThatNamedALimitNeedsAPermit: others go first; each request takes a permit, and the limit
// ends with the runner's word.
func TestRunnerThatNamedALimitNeedsAPermit(t *testing.T) {
	f, book, c := statedFleet("r1")
	f.SetColdStarts(ColdStarts{
		Terms: func(string) coldstart.Terms { return coldstart.Terms{} },
		Limit: func(rate float64, lent bool) coldstart.Terms {
			assert.Assert(t, lent)
			return coldstart.NewLimit(rate, coldstart.Lent{})
		},
	})
	f.HearLender("s")
	before, ok := f.Choose(statedQuery)
	assert.Assert(t, ok)
	named := http.Header{limitHeader: {"2"}}
	book.Hear(statement.Source{Runner: "r1", Request: "a"}, http.StatusOK, named)
	assert.Assert(t, !f.Allowed(before, statedQuery), "one that was chosen before goes there")
	_, ok = f.Choose(statedQuery)
	assert.Assert(t, !ok)
	assert.Assert(t, f.WaitsForPermit(statedQuery))
	assert.Equal(t, f.eligible(f.runners["r1"], request(statedQuery)), eligible.Limited)
	assert.DeepEqual(t, f.PermitsWanted("s", statedQuery.Unit, place.Homes{}, 1), []PermitsWanted{{Runner: "r1", Count: 1, Rate: 2}})
	f.ApplyPermits([]PermitsLent{{Runner: "r1", Count: 1}}, c.now)
	chosen, ok := f.Choose(statedQuery)
	assert.Assert(t, ok && f.Allowed(chosen, statedQuery))
	_, ok = f.Choose(statedQuery)
	assert.Assert(t, !ok)
	c.now = c.now.Add(time.Second)
	book.Hear(statement.Source{Runner: "r1", Request: "b"}, http.StatusOK, http.Header{})
	_, ok = f.Choose(statedQuery)
	assert.Assert(t, ok)
}
