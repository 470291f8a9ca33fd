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

// TestCutHeadEndedARequestThatMayBeRepeated: one runner of each service stops in the heads of its answers. Requests that
// may be repeated are served by another one, whole.
func TestCutHeadEndedARequestThatMayBeRepeated(t *testing.T) {
	t.Parallel()
	for _, part := range []runnerstub.StopIn{runnerstub.StopInLength, runnerstub.StopAfterHead, runnerstub.StopAfterSwitched} {
		t.Run(string(part), func(t *testing.T) {
			t.Parallel()
			w := startAnswerWorldOf(t, 1, runnerstub.Faults{})
			for _, id := range []string{"runner-1", "mailer-1"} {
				assert.NilError(t, w.world.SetRunnerFaults(id, runnerstub.Faults{StopIn: part}))
			}
			repeated := 0
			for range cutHeadRounds {
				// Others would reach the runner first, which gets fewer requests from then on.
				repeated += w.sendRepeatable(t, "safe") + w.sendRepeatable(t, "resumable stream")
			}
			assert.Check(t, repeated > 0, "no request that may be repeated reached a runner that stops")
		})
	}
}

// cutHeadRounds is how many requests of each kind are sent to runners of which one stops in its heads.
const cutHeadRounds = 24

// sendRepeatable sends a request of a kind that may be repeated, checks that it is served whole, and returns 1 if it ran
// more than once.
func (w *answerWorld) sendRepeatable(t *testing.T, kind string) int {
	t.Helper()
	request := answerKinds()[kind]
	request.ID, request.Deadline = newID(), cutHeadDeadline
	got, err := sendRaw(t.Context(), w.nodes[0], 1, request)
	assert.NilError(t, err)
	assert.Check(t, got.Status == http.StatusOK && got.Complete && got.wholeBody(request), "%s: %+v", kind, got)
	return min(1, max(0, runsOfRequest(readHistory(t, w.world), request.ID)-1))
}
