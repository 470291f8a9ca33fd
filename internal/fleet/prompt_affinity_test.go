package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// sharing returns a query for a prompt whose first two parts are shared with other requests.
func sharing(shared, own int) Query {
	return Query{Service: "s", Unit: shortPromptUnit, Prompt: []Part{
		{ID: "system", Tokens: 2800}, {ID: fmt.Sprint("shared", shared), Tokens: 3500}, {ID: fmt.Sprint("own", own), Tokens: 2900},
	}}
}

// TestNodesAgreeOnSharedPrompts checks that nodes which know nothing of each other's requests
// send those that share a prefix to the same runner, and those with different prefixes to
// different runners.
func TestNodesAgreeOnSharedPrompts(t *testing.T) {
	used := make(map[string]int)
	for shared := range 60 {
		var runner string
		for node := range 5 {
			choice, ok := shortPromptFleet(8).Choose(sharing(shared, node))
			assert.Assert(t, ok)
			assert.Assert(t, runner == "" || runner == choice.Runner.ID)
			runner = choice.Runner.ID
		}
		used[runner]++
	}
	assert.Equal(t, len(used), 6, "all but those kept for short prompts: %v", used)
	for runner, count := range used {
		assert.Assert(t, count < 25, "%s: %d of 60", runner, count)
	}
}

// TestQueueOutweighsSharedPrompt checks that a prompt is read again elsewhere rather than
// queued behind many others.
func TestQueueOutweighsSharedPrompt(t *testing.T) {
	f := shortPromptFleet(8)
	first, _ := f.Choose(sharing(1, 1))
	f = shortPromptFleet(8)
	f.ObserveReport(first.Runner.ID, backend.Report{Queued: 3})
	second, _ := f.Choose(sharing(1, 2))
	assert.Assert(t, second.Runner.ID != first.Runner.ID)
}
