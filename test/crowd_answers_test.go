package test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

const (
	// endlessCrowd is how many requests of each kind arrive at once whose answers have no end.
	endlessCrowd = 60
	// endlessRunners is the number of runners of each service, of which one of those without models is sound.
	endlessRunners = 4
)

// Answers without end, in a head or in a body.
func TestCrowdEndlessAnswers(t *testing.T) {
	for _, part := range []runnerstub.Endless{runnerstub.EndlessHead, runnerstub.EndlessBody} {
		t.Run(string(part), func(t *testing.T) { testEndlessAnswers(t, part, 0) })
	}
}

// Bodies without end beside clients whose requests take all memory that there is for requests.
func TestCrowdEndlessAnswersBesideBodies(t *testing.T) {
	testEndlessAnswers(t, runnerstub.EndlessBody, 128)
}

// testEndlessAnswers lets many requests at once get answers without end, from all runners but one. The node stays
// within the memory of its machine, ends each request in its time without a success, and serves ordinary requests
// meanwhile and afterwards. members is the number of clients that send largest bodies at the same time.
func testEndlessAnswers(t *testing.T, part runnerstub.Endless, members int) {
	w := newWorld(t, func(options *world.Options) {
		options.Proxied = false
		options.Adjust = func(s *settings.Settings) {
			useShortIntervals(s)
			s.Log.Level = settings.Default().Log.Level
			s.Capacity.MemoryMB = crowdMachineMB
		}
	})
	startMailers(t, w, endlessRunners)
	startRunners(t, w, endlessRunners)
	node := startNodes(t, w, 1)[0]
	apply(t, node, append(model("alpha", endlessRunners), readyPolicy("alpha", endlessRunners))...)
	waitKnown(t, "alpha", node)
	awaitModelServed(t, node, "alpha", time.Now().Add(powerReturn))
	for id := range w.Runners {
		if id != "mailer-1" {
			assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{Endless: part}))
		}
	}
	memory := watchMemory(node)
	c := startCrowd(node, crowdKind{members: members, address: clientEntrance, head: clientHead, length: legalBody, piece: legalBody - 1, pieces: 1})
	defer c.close()
	var requests sync.WaitGroup
	var successes atomic.Int64
	for range endlessCrowd {
		for name, request := range answerKinds() {
			request.Deadline = endlessDeadline
			requests.Go(func() {
				got := send(t.Context(), node, request)
				if got.Status == http.StatusOK && got.Complete {
					successes.Add(1)
					assert.Check(t, got.wholeBody(request) && request.Model == "", "%s: %d bytes", name, len(got.Body))
				}
				assert.Check(t, got.Status != http.StatusServiceUnavailable || got.RetryAfter != "", "%s: %s", name, got.Body)
			})
		}
	}
	awaitOrdinary(t, node)
	requests.Wait()
	awaitOrdinary(t, node)
	peak := max(memory.stop(), residentMemory(t, node))
	t.Logf("%d MB at most; %d served", peak/1_000_000, successes.Load())
	assert.Check(t, !node.Current().Ended())
	assert.Check(t, peak <= crowdMemory, "%d bytes", peak)
}
