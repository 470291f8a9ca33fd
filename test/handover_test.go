package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// A client lost the rest of a stream that its runner would have completed. The runner had
// paused for longer than a stream should, so the node reserved a slot at another runner,
// closed the connection to the first one and only then sent the request on. The other
// runner refused it, and there was no connection left to continue with. The node's log
// of a run of this test shows the four steps, for a stream whose runner resumed 0.9 s after
// the first line:
//
//	"attempt failed","runner":"runner-1","attempt":2,"error":"... use of closed network connection","endedBy":"silence","events":4,"silentMs":1601,"lateMs":0
//	"attempt failed","runner":"runner-2","attempt":3,"error":"... overloaded: runner answered 503, not run","endedBy":"runner","events":4
//	"attempt failed","runner":"runner-2","attempt":4,"error":"... overloaded: runner answered 503, not run","endedBy":"runner","events":4
//	"request ended","result":"broken","status":200,"step":"send request","events":4
//
// TestRestingStreamIsKeptUntilAnotherRunnerHasIt: streams pause at a runner while the other
// one, which also holds their model, refuses, fails, breaks off or does not answer. Each
// reaches its client complete, from the runner that paused.
func TestRestingStreamIsKeptUntilAnotherRunnerHasIt(t *testing.T) {
	t.Parallel()
	for name, other := range otherRunnerFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, nodes := startLoaded(t, 2, 1)
			const first, spare = "runner-1", "runner-2"
			assert.NilError(t, w.SetRunnerFaults(first, runnerstub.Faults{RestMs: 2500}))
			// All streams must begin at one runner. One that begins at the other has no
			// alternative if that one breaks off while the first one pauses.
			w.Runners[spare].Proxy.Block()
			answers := sendPausingStreams(t, nodes[0])
			waitUntil(t, "all streams are running", func() error {
				if at := runningByRunner(readHistory(t, w)); at[first] < pausingStreams {
					return fmt.Errorf("running by runner: %v", at)
				}
				return nil
			})
			assert.NilError(t, w.SetRunnerFaults(spare, other))
			w.Runners[spare].Proxy.Heal()
			checkStreamsComplete(t, answers)
		})
	}
}

// TestRestingStreamIsKeptWhereverItBegan is the same with streams that began at both
// runners, both of which pause. A stream may break off at the other runner after it moved
// there because of a pause.
func TestRestingStreamIsKeptWhereverItBegan(t *testing.T) {
	t.Parallel()
	for name, other := range otherRunnerFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, nodes := startLoaded(t, 2, 1)
			runners := []string{"runner-1", "runner-2"}
			for _, runner := range runners {
				assert.NilError(t, w.SetRunnerFaults(runner, runnerstub.Faults{RestMs: 2500}))
			}
			answers := sendPausingStreams(t, nodes[0])
			var at map[string]int
			waitUntil(t, "all streams are running", func() error {
				if at = runningByRunner(readHistory(t, w)); at[runners[0]]+at[runners[1]] < pausingStreams {
					return fmt.Errorf("running by runner: %v", at)
				}
				return nil
			})
			// The faults apply to what the runner begins from now on.
			spare := runners[1]
			if at[spare] > at[runners[0]] {
				spare = runners[0]
			}
			assert.NilError(t, w.SetRunnerFaults(spare, other))
			checkStreamsComplete(t, answers)
		})
	}
}

// pausingStreams is the number of streams that pause, pausingStreamEvents the number of
// events of each.
const pausingStreams, pausingStreamEvents = 4, 40

// otherRunnerFaults are the faults of the runner to which a pausing stream may move.
var otherRunnerFaults = map[string]runnerstub.Faults{
	"refuses":    {ShedShare: 1},
	"fails":      {ErrorShare: 1},
	"breaks off": {BreakShare: 1},
	"is mute":    {MuteShare: 1},
}

// sendPausingStreams sends the streams to a node and returns their answers as they arrive.
func sendPausingStreams(t *testing.T, node *world.Node) <-chan clientAnswer {
	t.Helper()
	answers := make(chan clientAnswer, pausingStreams)
	for range pausingStreams {
		go func() {
			answers <- send(t.Context(), node, clientRequest{Path: "/draft/x", Model: "alpha", Events: pausingStreamEvents})
		}()
	}
	return answers
}

// checkStreamsComplete checks that each stream reached its client complete.
func checkStreamsComplete(t *testing.T, answers <-chan clientAnswer) {
	t.Helper()
	for range pausingStreams {
		got := <-answers
		assert.Check(t, got.Status == http.StatusOK && got.Complete && got.Body == expectedEvents(got.ID, pausingStreamEvents), "%+v", got)
	}
}

// runningByRunner counts the requests that each runner has begun and not ended.
func runningByRunner(h history) map[string]int {
	where := make(map[string]string)
	for _, record := range h.records {
		switch record.Event {
		case journal.EventRun:
			where[record.Request] = record.Runner
		case journal.EventFinished, journal.EventCanceled:
			delete(where, record.Request)
		}
	}
	count := make(map[string]int)
	for _, runner := range where {
		count[runner]++
	}
	return count
}

// A node that was paused mistook its own pause for silence of its runners. Its timers fired
// before it had read what was in its sockets, and it left runners that had been sending all
// along. Its log shows that such an attempt was ended for silence although data of the
// runner had arrived within the same millisecond:
//
//	"attempt failed","runner":"runner-2","attempt":1,"elapsedMs":2050,"endedBy":"silence","events":5,"silentMs":0
//
// TestOwnPauseIsNotARunnersSilence: a node is frozen for longer than streams may pause. The
// streams reach their clients complete, and no other runner is asked to continue them.
func TestOwnPauseIsNotARunnersSilence(t *testing.T) {
	t.Parallel()
	const streams, events = 8, 300
	w, nodes := startLoaded(t, 2, 1)
	answers := make(chan clientAnswer, streams)
	for range streams {
		go func() {
			answers <- send(t.Context(), nodes[0], clientRequest{Path: "/draft/x", Model: "alpha", Events: events})
		}()
	}
	waitUntil(t, "all streams are running", func() error {
		if at := runningByRunner(readHistory(t, w)); at["runner-1"]+at["runner-2"] < streams {
			return fmt.Errorf("running by runner: %v", at)
		}
		return nil
	})
	assert.NilError(t, nodes[0].Freeze())
	time.Sleep(2 * time.Second)
	assert.NilError(t, nodes[0].Thaw())
	for range streams {
		got := <-answers
		assert.Check(t, got.Status == http.StatusOK && got.Complete && got.Body == expectedEvents(got.ID, events), "%+v", got)
		assert.Check(t, runsOfRequest(readHistory(t, w), got.ID) == 1, "%s ran %d times", got.ID, runsOfRequest(readHistory(t, w), got.ID))
	}
}
