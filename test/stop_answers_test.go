package test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopEndedWithoutAnswerToRunningCall: a call whose answer is sent in one piece runs longer than the stop
// of its node. Its caller is told so before connections end.
func TestStopEndedWithoutAnswerToRunningCall(t *testing.T) {
	t.Parallel()
	_, nodes := startStopWorld(t, longStop, 2, 1)
	whole := call{Model: "alpha", Prompt: "whole", Tokens: endlessEvents, Deadline: 30 * time.Second, Unstreamed: true}
	answer := sendInBackground(t.Context(), nodes[0], whole, nil)
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, nodes[0].Terminate())
	got := awaitOutcome(t, answer)
	assert.Assert(t, !got.Broken)
	assert.Equal(t, got.Status, http.StatusBadGateway, "%+v", got)
	assert.Equal(t, got.Ran, "unknown")
	assert.NilError(t, nodes[0].Wait(waitTimeout))
}
