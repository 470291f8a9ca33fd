package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
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

// oddLines are answers whose head holds a line that is none of the protocol, each with a length that is not that of
// its body.
func oddLines() map[string]string {
	const cut = "id: 0\ndata: a\n\n"
	begin := "HTTP/1.1 200 OK\r\n" + runnerstub.RawIdentity
	odd := make(map[string]string)
	for what, line := range map[string]string{
		"space before the colon": "Content-Length : 90", "tab before the colon": "Content-Length\t: 90", "space in a name": "Content Length: 90",
		"control byte in a name": "X-\x01: a", "null byte in a name": "X-\x00: a", "delete in a name": "X-\x7f: a", "high byte in a name": "X-\xe9: a",
		"empty name": ": a", "no colon": "Content-Length 90", "carriage return in a name": "X-\rA: a", "separator in a name": "X(A): a",
		"control byte in a value": "X-A: \x01", "null byte in a value": "X-A: \x00", "carriage return in a value": "X-A: a\rContent-Length: 90",
		"folded line": "X-A: 1\r\n Content-Length: 90", "folded by a tab": "X-A: 1\r\n\tContent-Length: 90", "folded and empty": "X-A: 1\r\n ",
	} {
		odd[what] = begin + line + "\r\n\r\n" + cut
	}
	odd["folded first line"] = "HTTP/1.1 200 OK\r\n X-A: 1\r\n" + runnerstub.RawIdentity + "\r\n" + cut
	odd["two signatures"] = framed("200 OK", protocol.HeaderSignature+": another\r\n", cut)
	odd["two identifiers"] = framed("200 OK", protocol.HeaderRequestID+": another\r\n", cut)
	odd["control byte in the reason"] = framed("200 O\x01K", "", cut)
	odd["interim answer with a length"] = framed("100 Continue", "", framed("200 OK", "", cut))
	odd["interim answer in chunks"] = "HTTP/1.1 103 Early Hints\r\n" + runnerstub.RawIdentity + "Transfer-Encoding: chunked\r\n\r\n" + framed("200 OK", "", cut)
	return odd
}

// TestAnswerWithAnOddHeadReachedClients: runners answered with a head that holds a line which is none of the protocol.
// Clients got such lines, or a body that was not the runner's.
func TestAnswerWithAnOddHeadReachedClients(t *testing.T) {
	t.Parallel()
	w := startAnswerWorldOf(t, 1, runnerstub.Faults{})
	checkRefused(t, w.world, w.nodes[0], oddLines())
}

// TestCarriedAnswerWithAnOddHeadReachedClients: the same at a node that reaches the runners through another one.
func TestCarriedAnswerWithAnOddHeadReachedClients(t *testing.T) {
	t.Parallel()
	w := startCarriedWorldWith(t, statementTest{direct: true})
	checkRefused(t, w.world, w.cutNode, oddLines())
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
