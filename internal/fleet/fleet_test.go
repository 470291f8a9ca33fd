package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// clock is a manual clock.
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

// TestKeptPromptAttractsRequests checks that a request that shares a prompt goes to the runner
// believed to have it cached, until that runner has more work than the cached prompt saves.
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

// TestMissingRunnersAreLastChoice checks that runners which vanished while the platform could
// not be reached are used for a while if nothing else is left. Runners that are reported as
// removed are not.
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

// TestHolderViewPrecedesList checks that the lease holder's view takes precedence over
// the list until the list has newer information and the view is old.
func TestHolderViewPrecedesList(t *testing.T) {
	f, c := testFleet()
	f.Replace([]backend.Runner{listed("r1", "old")}, false)
	f.ApplyViews([]View{{Runner: "r1", Ready: []backend.Holding{{Model: "new"}}, Pending: []PendingUnit{{Unit: backend.Unit{Model: "next"}, In: time.Second}}}}, 0)
	_, holds := f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "new"}})
	assert.Assert(t, holds)
	_, holds = f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "old"}})
	assert.Assert(t, !holds)
	in, found := f.Expected("s", backend.Unit{Model: "next"}, place.Homes{})
	assert.Assert(t, found && in == time.Second)
	c.now = c.now.Add(viewLifetime)
	_, holds = f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "new"}})
	assert.Assert(t, holds, "the list was not updated since")
	f.Apply([]backend.Runner{listed("r1", "old")}, nil, false)
	_, holds = f.Choose(Query{Service: "s", Unit: backend.Unit{Model: "old"}})
	assert.Assert(t, holds)
}

// TestRefusingRunnerIsNotChosenAgain checks that a runner which reported that it does not hold
// a unit is not chosen for it again at once.
func TestRefusingRunnerIsNotChosenAgain(t *testing.T) {
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

// TestDrainingRunnerGetsNothing checks that no request goes to a runner that states that it is
// leaving or to one that an operator drains.
func TestDrainingRunnerGetsNothing(t *testing.T) {
	f := New("zone-a", time.Now, drains{"r2": true})
	leaving := listed("r1")
	leaving.Draining = true
	f.Replace([]backend.Runner{leaving, listed("r2")}, false)
	_, ok := f.Choose(Query{Service: "s"})
	assert.Assert(t, !ok)
}

// TestUnreachableRunnerIsAvoidedAtOnce checks that after one failed connection any other runner
// is preferred.
func TestUnreachableRunnerIsAvoidedAtOnce(t *testing.T) {
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
