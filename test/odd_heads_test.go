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

// oddHeadDeadline is how long the clients of the tests below wait.
const oddHeadDeadline = 3 * time.Second

// framed returns an answer with a status, further lines of its head, and a body that has a length.
func framed(status, lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, runnerstub.RawIdentity, lines, len(body), body)
}

// oddStatuses are answers whose status is none of the protocol.
func oddStatuses() map[string]string {
	nested := framed("200 OK", "", "id: 0\ndata: a\n\n")
	odd := make(map[string]string)
	for _, status := range []string{"000", "-00", "099", "+20", "600", "999"} {
		odd[status] = framed(status+" Some", "", "abcd")
		odd[status+", nested answer"] = framed(status+" Some", "", nested)
		odd[status+", no length"] = fmt.Sprintf("HTTP/1.1 %s Some\r\n%s\r\n%s", status, runnerstub.RawIdentity, nested)
	}
	return odd
}

// checkRefused lets all runners answer with bytes that are no answer, and checks at a node that each client gets an
// error of the node, once its request may have run, and that the node serves once the runners are sound.
func checkRefused(t *testing.T, w *world.World, node *world.Node, answers map[string]string) {
	t.Helper()
	for what, raw := range answers {
		for id := range w.Runners {
			assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{Raw: raw}))
		}
		for name, request := range answerKinds() {
			request.ID, request.Deadline = newID(), oddHeadDeadline
			got, err := sendRaw(t.Context(), node, 1, request)
			assert.NilError(t, err)
			assert.Check(t, got.Complete && got.Signature == "", "%s, %s: %+v", what, name, got)
			if runs := runsOfRequest(readHistory(t, w), request.ID); runs > 0 {
				assert.Check(t, got.Status == http.StatusBadGateway || got.Status == http.StatusGatewayTimeout, "%s, %s: %+v", what, name, got)
				assert.Check(t, runs == 1 || name != "unsafe" && name != "stream", "%s, %s: sent again", what, name)
			} else {
				assert.Check(t, got.Status == http.StatusServiceUnavailable, "%s, %s: %+v", what, name, got)
			}
		}
	}
	for id := range w.Runners {
		assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{}))
	}
	awaitModelServed(t, node, "alpha", time.Now().Add(powerReturn))
}

// TestAnswerWithoutAStatusReachedClients: runners answered with a status that is none. Clients got it as an answer,
// or what stood in its body.
func TestAnswerWithoutAStatusReachedClients(t *testing.T) {
	t.Parallel()
	w := startAnswerWorldOf(t, 1, runnerstub.Faults{})
	checkRefused(t, w.world, w.nodes[0], oddStatuses())
}

// TestCarriedAnswerWithoutAStatusReachedClients: the same at a node that reaches the runners through another one.
func TestCarriedAnswerWithoutAStatusReachedClients(t *testing.T) {
	t.Parallel()
	w := startCarriedWorldWith(t, statementTest{direct: true})
	checkRefused(t, w.world, w.cutNode, oddStatuses())
}
