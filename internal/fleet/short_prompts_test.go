package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

var shortPromptUnit = backend.Unit{Model: "m"}

// shortPromptFleet returns a fleet of runners that all hold one model, with a known mean prompt
// length.
func shortPromptFleet(runners int) *Fleet {
	f := New("zone", time.Now, noRules{})
	listed := make([]backend.Runner, 0, runners)
	for i := range runners {
		listed = append(listed, backend.Runner{
			ID: fmt.Sprintf("r%d", i), Service: "s", Slots: 64, Models: []backend.Holding{{Model: shortPromptUnit.Model}},
		})
	}
	f.Replace(listed, false)
	f.meanUnread = 6000
	return f
}

// runnersOf returns the runners to which count prompts were sent, one after the other.
func runnersOf(f *Fleet, tokens, count int) map[string]bool {
	used := make(map[string]bool)
	for i := range count {
		query := Query{Service: "s", Unit: shortPromptUnit, Prompt: []Part{{ID: fmt.Sprintf("%d-%d", tokens, i), Tokens: tokens}}}
		choice, ok := f.Choose(query)
		if !ok {
			continue
		}
		used[choice.Runner.ID] = true
		f.Started(choice)
		f.Done(choice, query, Served, time.Millisecond, true)
		f.meanUnread = 6000
	}
	return used
}

// TestShortPromptsAreKeptApart checks that all nodes send short prompts to the same subset of
// a model's runners, and long ones to the rest.
func TestShortPromptsAreKeptApart(t *testing.T) {
	for runners, kept := range map[int]int{2: 1, 3: 1, 4: 1, 8: 2, 20: 5} {
		short := runnersOf(shortPromptFleet(runners), 500, 400)
		assert.Equal(t, len(short), kept, "of %d runners: %v", runners, short)
		long := runnersOf(shortPromptFleet(runners), 9000, 400)
		assert.Equal(t, len(long), runners-kept, "of %d runners: %v", runners, long)
		for id := range long {
			assert.Assert(t, !short[id])
		}
	}
	assert.Equal(t, len(runnersOf(shortPromptFleet(1), 500, 10)), 1)
	assert.Equal(t, len(runnersOf(shortPromptFleet(1), 9000, 10)), 1)
}

// TestQueueOutweighsKeepingApart checks that a prompt goes to a runner for the other kind
// rather than behind a queued long prompt.
func TestQueueOutweighsKeepingApart(t *testing.T) {
	f := shortPromptFleet(2)
	kept := runnersOf(f, 500, 1)
	for id := range f.runners {
		if kept[id] {
			f.ObserveReport(id, backend.Report{Queued: 1})
		} else {
			f.ObserveReport(id, backend.Report{})
		}
	}
	used := runnersOf(f, 500, 1)
	for id := range used {
		assert.Assert(t, !kept[id])
	}
}

// TestNoRunnerIsLeftOutForever checks that the runners kept for short prompts also serve long
// ones, if there are no others, as soon as the other runners have requests in flight.
func TestNoRunnerIsLeftOutForever(t *testing.T) {
	f := shortPromptFleet(4)
	used := make(map[string]bool)
	for i := range 40 {
		query := Query{Service: "s", Unit: shortPromptUnit, Prompt: []Part{{ID: fmt.Sprint(i), Tokens: 9000}}}
		choice, _ := f.Choose(query)
		used[choice.Runner.ID] = true
	}
	assert.Equal(t, len(used), 4, "with requests in flight at the other runners")
}
