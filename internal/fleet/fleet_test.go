package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// clock is a clock that a test moves.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func testFleet() (*Fleet, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return New("zone-a", c.read, noRules{}), c
}

func listed(id string, models ...string) backend.Runner {
	runner := backend.Runner{ID: id, Service: "s", Address: id, Zone: "zone-a", Slots: 4}
	for _, model := range models {
		runner.Models = append(runner.Models, backend.Holding{Model: model})
	}
	return runner
}

// TestKeptPromptAttractsRequests: a request that shares a prompt goes where it is
// believed kept, until that runner has more to do than the prompt is worth.
func TestKeptPromptAttractsRequests(t *testing.T) {
	f, _ := testFleet()
	f.Replace([]backend.Runner{listed("r1", "m"), listed("r2", "m"), listed("r3", "m")}, false)
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}, Prompt: []Part{{ID: "shared", Tokens: 6000}, {ID: "own", Tokens: 100}}}
	first, ok := f.Choose(query)
	assert.Assert(t, ok)
	f.Started(first)
	f.Done(first, query, Served, time.Second, true)
	again := query
	again.Prompt = []Part{{ID: "shared", Tokens: 6000}, {ID: "other", Tokens: 100}}
	second, _ := f.Choose(again)
	assert.Equal(t, second.Runner.ID, first.Runner.ID)
	assert.Equal(t, second.KeptTokens, 6000)
	for number := range 12 {
		more := query
		more.Prompt = []Part{{ID: "shared", Tokens: 6000}, {ID: fmt.Sprint(number), Tokens: 4000}}
		if choice, _ := f.Choose(more); choice.Runner.ID != first.Runner.ID {
			return
		}
	}
	t.Fatal("all requests went to one runner")
}

// TestMissingRunnersAreLastChoice: runners that vanished after a time without the
// platform are used when nothing else is left, for a while; those whose loss is
// told are not.
func TestMissingRunnersAreLastChoice(t *testing.T) {
	f, c := testFleet()
	query := Query{Service: "s"}
	f.Replace([]backend.Runner{listed("r1"), listed("r2")}, false)
	f.Replace([]backend.Runner{listed("r2")}, true)
	choice, ok := f.Choose(query)
	assert.Assert(t, ok && choice.Runner.ID == "r2")
	f.Done(choice, query, Served, time.Millisecond, false)
	f.Apply(nil, []string{"r2"}, false)
	choice, ok = f.Choose(query)
	assert.Assert(t, ok && choice.Runner.ID == "r1")
	f.Done(choice, query, Served, time.Millisecond, false)
	c.now = c.now.Add(missingLifetime + time.Second)
	_, ok = f.Choose(query)
	assert.Assert(t, !ok)
}

// TestHolderIsBelievedBeforeTheList: the lease holder's account goes before the
// list's until the list says something newer and the account is old.
func TestHolderIsBelievedBeforeTheList(t *testing.T) {
	f, c := testFleet()
	f.Replace([]backend.Runner{listed("r1", "old")}, false)
	f.ApplyViews([]View{{Runner: "r1", Ready: []backend.Holding{{Model: "new"}}, Coming: []Coming{{Unit: backend.Unit{Model: "next"}, In: time.Second}}}}, 0)
	_, holds := f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "new"}})
	assert.Assert(t, holds)
	_, holds = f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "old"}})
	assert.Assert(t, !holds)
	in, coming := f.Expected("s", backend.Unit{Model: "next"}, place.Homes{})
	assert.Assert(t, coming && in == time.Second)
	c.now = c.now.Add(viewLifetime)
	_, holds = f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "new"}})
	assert.Assert(t, holds, "the list told nothing since")
	f.Apply([]backend.Runner{listed("r1", "old")}, nil, false)
	_, holds = f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "old"}})
	assert.Assert(t, holds)
}

// TestRefusingRunnerIsSpared: a runner that stated that it does not hold a unit is
// not asked for it again at once.
func TestRefusingRunnerIsSpared(t *testing.T) {
	f, c := testFleet()
	f.Replace([]backend.Runner{listed("r1", "m")}, false)
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}}
	choice, ok := f.Choose(query)
	assert.Assert(t, ok)
	f.Done(choice, query, NotHeld, 0, false)
	_, ok = f.Choose(query)
	assert.Assert(t, !ok)
	c.now = c.now.Add(RefusalPause)
	_, ok = f.Choose(query)
	assert.Assert(t, ok)
}

// TestDrainingRunnerGetsNothing: neither one that says that it leaves nor one
// that an operator empties.
func TestDrainingRunnerGetsNothing(t *testing.T) {
	f := New("zone-a", time.Now, drains{"r2": true})
	leaving := listed("r1")
	leaving.Draining = true
	f.Replace([]backend.Runner{leaving, listed("r2")}, false)
	_, ok := f.Choose(Query{Service: "s"})
	assert.Assert(t, !ok)
}

// TestUnreachableRunnerIsSparedAtOnce: one failed connection is enough to prefer
// any other runner.
func TestUnreachableRunnerIsSparedAtOnce(t *testing.T) {
	f, _ := testFleet()
	f.Replace([]backend.Runner{listed("r1", "m"), listed("r2", "m")}, false)
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}, Prompt: []Part{{ID: "p", Tokens: 5000}}}
	first, _ := f.Choose(query)
	f.Done(first, query, Unreachable, 0, false)
	for range 5 {
		next, _ := f.Choose(query)
		assert.Assert(t, next.Runner.ID != first.Runner.ID)
		f.Done(next, query, Served, time.Millisecond, false)
	}
}
