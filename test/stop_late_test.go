package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/settings"
)

// TestLateNodeClosedConnectionsBeforeAnswers: the process of a stopping node does not run from before the last answers
// until after connections end by the schedule. Requests whose runner is mute get whole answers all the same.
func TestLateNodeClosedConnectionsBeforeAnswers(t *testing.T) {
	t.Parallel()
	const requests = 4
	limits := settings.Stop{Grace: 12 * time.Second, Notice: 500 * time.Millisecond}
	w, nodes := startStopWorld(t, limits, 1, 1)
	assert.NilError(t, w.SetRunnerFaults("runner-1", runnerstub.Faults{MuteShare: 1}))
	results := make(chan clientAnswer, requests)
	for range requests {
		go func() {
			results <- send(t.Context(), nodes[0], clientRequest{Path: "/reply/x", Model: "alpha", Events: 3, Deadline: time.Minute})
		}()
	}
	waitUntil(t, "the requests are running", func() error {
		if at := runningByRunner(readHistory(t, w)); at["runner-1"] < requests {
			return fmt.Errorf("running by runner: %v", at)
		}
		return nil
	})
	signal := time.Now()
	assert.NilError(t, nodes[0].Terminate())
	time.Sleep(time.Until(signal.Add(limits.Grace*11/12 - 200*time.Millisecond)))
	assert.NilError(t, nodes[0].Freeze())
	time.Sleep(time.Until(signal.Add(limits.Grace*15/16 + 50*time.Millisecond)))
	assert.NilError(t, nodes[0].Thaw())
	for range requests {
		got := <-results
		assert.Check(t, got.Complete, "%+v", got)
		assert.Check(t, got.Status == http.StatusBadGateway, "%+v", got)
	}
	assert.NilError(t, nodes[0].Wait(waitTimeout))
}
