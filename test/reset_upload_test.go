package test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

const (
	// resetUploads is how many requests of each kind and size are sent to runners that reset the connection.
	resetUploads = 8
	// resetUploadDeadline is how long their clients wait.
	resetUploadDeadline = 5 * time.Second
)

// resetUploadSizes are the sizes of their bodies, in bytes.
var resetUploadSizes = []int{1 << 10, 64 << 10, 1 << 20, 4 << 20}

// checkResetUploads lets all runners answer early with a part and reset the connection, and checks at a node that no
// client gets the part as a whole answer.
func checkResetUploads(t *testing.T, w *world.World, node *world.Node) {
	t.Helper()
	for _, delay := range []int{0, 5, 50} {
		for id := range w.Runners {
			assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{ResetUpload: true, ResetMs: delay}))
		}
		for name, request := range answerKinds() {
			for _, size := range resetUploadSizes {
				statuses := make(map[int]int)
				for range resetUploads {
					request.ID, request.Deadline, request.Method = newID(), resetUploadDeadline, http.MethodPost
					request.Body = bytes.Repeat([]byte("x"), size)
					got, err := sendRaw(t.Context(), node, 1, request)
					assert.NilError(t, err)
					statuses[got.Status]++
					assert.Check(t, got.Status != http.StatusOK || !got.Complete, "%s, %d KiB, reset after %d ms: %+v", name, size>>10, delay, got)
				}
				assert.Check(t, statuses[http.StatusOK]+statuses[http.StatusBadGateway] > 0, "%s, %d KiB: no request reached a runner: %v", name, size>>10, statuses)
			}
		}
	}
}

// TestPartOfAnAnswerResetDuringTheUploadReachedClients: runners answered uploads at once with a part of a success and
// reset the connection while the body was being sent. Clients got the part as a complete answer.
func TestPartOfAnAnswerResetDuringTheUploadReachedClients(t *testing.T) {
	t.Parallel()
	w := startAnswerWorldOf(t, 1, runnerstub.Faults{})
	checkResetUploads(t, w.world, w.nodes[0])
}

// TestCarriedPartOfAnAnswerResetDuringTheUploadReachedClients: the same at a node that reaches the runners through
// another one.
func TestCarriedPartOfAnAnswerResetDuringTheUploadReachedClients(t *testing.T) {
	t.Parallel()
	w := startCarriedWorldWith(t, statementTest{direct: true})
	checkResetUploads(t, w.world, w.cutNode)
}
