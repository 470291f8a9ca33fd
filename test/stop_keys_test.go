package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/lab/world"
)

// TestStoppingNodeKeptKeysOfRefusedCalls: calls with keys wait at a node for a model as the node is asked
// to stop, and are refused as not run. Another node serves them under the same keys.
func TestStoppingNodeKeptKeysOfRefusedCalls(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) {
		adjust := o.Adjust
		o.Adjust = func(s *settingsType) {
			adjust(s)
			s.Stop = longStop
		}
	})
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 2)
	releaseModel := stuckModel(t, w, nodes[0], "alpha")
	waitKnown(t, "alpha", nodes...)
	for _, node := range nodes {
		waitUntil(t, "the node claims keys", func() error {
			if !hasLineWith(readLog(t, w, node), "store epoch known", "") {
				return fmt.Errorf("%s does not yet", node.Name)
			}
			return nil
		})
	}
	calls := []call{
		{Model: "alpha", Prompt: "streamed", Tokens: 4, Key: "streamed-key", Deadline: 30 * time.Second},
		{Model: "alpha", Prompt: "whole", Tokens: 4, Key: "whole-key", Deadline: 30 * time.Second, Unstreamed: true},
	}
	var results []<-chan outcome
	for _, c := range calls {
		results = append(results, sendInBackground(t.Context(), nodes[0], c, nil))
	}
	waitQueued(t, nodes[0], len(calls))
	assert.NilError(t, nodes[0].Terminate())
	for index := range calls {
		refused := awaitOutcome(t, results[index])
		assert.Equal(t, refused.Code, fault.CodeDraining, "%+v", refused)
		assert.Equal(t, refused.Ran, "no")
	}
	releaseModel()
	for _, c := range calls {
		got := ask(t.Context(), nodes[1], c, nil)
		assert.Check(t, got.Served, "%s: %+v", c.Prompt, got)
		assert.Check(t, readHistory(t, w).runsOfPrompt(c.Prompt) == 1)
	}
}

// TestStoppingNodeKeptClaimsToItself: all other nodes hang towards the end of the stop of a node with a long
// stream, when its last request leaves little time. They have been told of its claims by then.
func TestStoppingNodeKeptClaimsToItself(t *testing.T) {
	t.Parallel()
	w, nodes := startStopWorld(t, longStop, 3, 3)
	waitUntil(t, "the node claims a key", func() error {
		keyed := call{Model: "alpha", Prompt: "keyed", Tokens: 1, Key: newID(), Deadline: 10 * time.Second}
		if got := ask(t.Context(), nodes[0], keyed, nil); !got.Served {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	stream := slowRequest{name: "begun before the signal", path: "/reply/x", events: endlessEvents, dial: 0, send: 0}
	streamed := make(chan slowAnswer, 1)
	go func() { streamed <- stream.run(nodes[0], time.Now()) }()
	assert.NilError(t, nodes[0].Terminate())
	time.Sleep(longStop.Notice + time.Second)
	for _, node := range nodes[1:] {
		assert.NilError(t, node.Freeze())
	}
	<-streamed
	assert.NilError(t, nodes[0].Wait(waitTimeout))
	told := readLog(t, w, nodes[0])
	assert.Assert(t, hasLineWith(told, "claims handed over", `"nodes":1`) || hasLineWith(told, "claims handed over", `"nodes":2`))
}
