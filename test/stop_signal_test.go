package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateSignal is how late a node handles its signal that lacks processor time.
const lateSignal = 500 * time.Millisecond

// TestLateStopTookOnWhatItCannotFinish: a node handles its signal late, so that what is sent after the notice reaches
// it within the notice as the node counts that. Streams that last longer than the stop are refused as not run.
func TestLateStopTookOnWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	w, nodes := startStopWorld(t, longStop, 2, 3)
	requests := []slowRequest{
		{name: "first request of an old connection", path: "/reply/x", events: endlessEvents, dial: -time.Second, send: 3050 * time.Millisecond},
		{name: "body that ends soon after the notice", path: "/reply/x", events: endlessEvents, dial: 2500 * time.Millisecond, send: 2600 * time.Millisecond, bodyEnd: 3100 * time.Millisecond},
	}
	answers := make([]chan slowAnswer, len(requests))
	signal := time.Now().Add(2 * time.Second)
	for index, r := range requests {
		answers[index] = make(chan slowAnswer, 1)
		go func() { answers[index] <- r.run(nodes[0], signal) }()
	}
	time.Sleep(time.Until(signal))
	assert.NilError(t, nodes[0].Freeze())
	assert.NilError(t, nodes[0].Terminate())
	time.Sleep(lateSignal)
	assert.NilError(t, nodes[0].Thaw())
	assert.NilError(t, nodes[0].Wait(waitTimeout))
	for index, r := range requests {
		answer := <-answers[index]
		problem := answer.problemOf(r, runsOfRequest(readHistory(t, w), answer.ID), longStop)
		assert.Check(t, problem == "", "%s: %s", r.name, problem)
	}
}
