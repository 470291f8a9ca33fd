package test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

const (
	// endlessRequests is how many requests get bytes without end at a node at the same time.
	endlessRequests = 24
	// endlessMemory is how much more memory its process may take for them, in bytes; the programs are built
	// with the race detector if the test is.
	endlessMemory = memoryFactor * 160 << 20
	// endlessDeadline is how long their clients wait.
	endlessDeadline = 4 * time.Second
)

// residentMemory returns the memory that the process of a node has taken at most, in bytes.
func residentMemory(t *testing.T, node *world.Node) int {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.Current().ID()))
	assert.NilError(t, err)
	for line := range strings.SplitSeq(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no peak of memory in the status of the process")
	return 0
}

// TestBytesWithoutEndTookTheMemoryOfANode: all runners answer with bytes that are no answer and never end, in a head
// or in a body, to many requests at once. Each request ends without a success in its time, the node takes
// no more memory than it has, and it serves again once its runners are sound.
func TestBytesWithoutEndTookTheMemoryOfANode(t *testing.T) {
	t.Parallel()
	for _, part := range []runnerstub.Endless{runnerstub.EndlessHead, runnerstub.EndlessBody} {
		t.Run(string(part), func(t *testing.T) {
			t.Parallel()
			w := startAnswerWorldOf(t, 1, runnerstub.Faults{Endless: part})
			node, before := w.nodes[0], residentMemory(t, w.nodes[0])
			var requests sync.WaitGroup
			for range endlessRequests {
				for name, request := range answerKinds() {
					request.Deadline = endlessDeadline
					requests.Go(func() {
						got := send(t.Context(), node, request)
						assert.Check(t, got.Status != http.StatusOK || !got.Complete, "%s", name)
						assert.Check(t, got.Status != http.StatusServiceUnavailable || got.RetryAfter != "", "%s: %s", name, got.Body)
					})
				}
			}
			requests.Wait()
			taken := residentMemory(t, node) - before
			t.Logf("%d MB taken", taken>>20)
			assert.Check(t, taken < endlessMemory, "%d MB", taken>>20)
			for id := range w.world.Runners {
				assert.NilError(t, w.world.SetRunnerFaults(id, runnerstub.Faults{}))
			}
			awaitModelServed(t, node, "alpha", time.Now().Add(powerReturn))
		})
	}
}
