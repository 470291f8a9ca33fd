package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// cutHeadDeadline is how long the clients of the tests below wait.
const cutHeadDeadline = 3 * time.Second

// checkStopped lets all runners stop in each part of their answers and checks at a node, in both versions of
// HTTP, that each request ends with an error of the node, and that the node serves once the runners are sound.
func checkStopped(t *testing.T, w *world.World, node *world.Node) {
	t.Helper()
	for _, part := range runnerstub.StopParts() {
		statuses := make(map[int]int)
		for _, reset := range []bool{false, true} {
			for id := range w.Runners {
				assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{StopIn: part, Reset: reset}))
			}
			for name, request := range answerKinds() {
				for minor := range 2 {
					request.ID, request.Deadline = newID(), cutHeadDeadline
					got, err := sendRaw(t.Context(), node, minor, request)
					assert.NilError(t, err)
					statuses[got.Status]++
					what := fmt.Sprintf("%s in %s, reset %t, HTTP/1.%d: %+v", name, part, reset, minor, got)
					assert.Check(t, got.Complete, "%s", what)
					if runsOfRequest(readHistory(t, w), request.ID) > 0 {
						assert.Check(t, got.Status == http.StatusBadGateway || got.Status == http.StatusGatewayTimeout, "%s", what)
					} else {
						assert.Check(t, got.Status == http.StatusServiceUnavailable, "%s", what)
					}
					if name == "unsafe" || name == "stream" {
						assert.Check(t, runsOfRequest(readHistory(t, w), request.ID) <= 1, "%s: sent again", what)
					}
				}
			}
		}
		t.Logf("%s: answers by status %v", part, statuses)
		assert.Check(t, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout] > 0, "no request reached a runner that stops in %s", part)
	}
	for id := range w.Runners {
		assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{}))
	}
	awaitModelServed(t, node, "alpha", time.Now().Add(powerReturn))
}

// TestAnswerWithACutHeadLookedWhole: a runner stopped in the middle of its answer's head and closed the connection.
// Clients got a 200 with an empty or short body.
func TestAnswerWithACutHeadLookedWhole(t *testing.T) {
	t.Parallel()
	w := startAnswerWorld(t, runnerstub.Faults{})
	checkStopped(t, w.world, w.nodes[0])
}

// TestCarriedAnswerWithACutHeadLookedWhole: the same at a node that reaches the runners through another one.
func TestCarriedAnswerWithACutHeadLookedWhole(t *testing.T) {
	t.Parallel()
	w := startCarriedWorldWith(t, statementTest{direct: true})
	checkStopped(t, w.world, w.cutNode)
}
