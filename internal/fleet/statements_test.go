package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/statement"
)

const leavingHeader = "X-Leaves"

// statedFleet is a fleet of runners of model m, and what they state.
func statedFleet(names ...string) (*Fleet, *statement.Book, *clock) {
	f, c := testFleet()
	book := statement.NewBook(statement.Options{
		LeavingHeader: leavingHeader, Now: c.read, Log: logr.Discard(),
		Limits: func() statement.Limits {
			return statement.Limits{LongestRest: time.Minute, UnreadableRest: time.Second, LeavingFor: 5 * time.Minute}
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
