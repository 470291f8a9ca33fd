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

// A client lost the rest of a stream that its runner would have finished. The runner had
// paused for longer than streams are meant to, so the node reserved a place at another
// runner, closed the first one's connection and only then sent the request on. The other
// runner refused it, and nothing was left to go on with. The node's log of a run of this
// test tells the four steps, of a stream whose runner went on 0.9 s after the first line:
//
//	"attempt failed","runner":"runner-1","attempt":2,"error":"... use of closed network connection","endedBy":"silence","events":4,"silentMs":1601,"lateMs":0
//	"attempt failed","runner":"runner-2","attempt":3,"error":"... overloaded: runner answered 503, not run","endedBy":"runner","events":4
//	"attempt failed","runner":"runner-2","attempt":4,"error":"... overloaded: runner answered 503, not run","endedBy":"runner","events":4
//	"request ended","result":"broken","status":200,"step":"send request","events":4
//
// TestRestingStreamIsKeptUntilAnotherRunnerHasIt: streams pause at a runner while the
// other one, which holds their model too, refuses, fails, breaks off or says nothing. Each
// reaches its client whole, from the runner that paused.
func TestRestingStreamIsKeptUntilAnotherRunnerHasIt(t *testing.T) {
	t.Parallel()
	for name, other := range otherRunnerFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, nodes := startLoaded(t, 2, 1)
			const first, spare = "runner-1", "runner-2"
			assert.NilError(t, w.SetRunnerFaults(first, runnerstub.Faults{RestMs: 2500}))
			// All begin at one runner: one that begins at the spare has no other left where
			// that breaks off and the first one rests.
			w.Runners[spare].Proxy.Block()
			answers := sendPausingStreams(t, nodes[0])
			waitUntil(t, "all streams have begun", func() error {
				if at := runningByRunner(readHistory(t, w)); at[first] < pausingStreams {
					return fmt.Errorf("%v have", at)
				}
				return nil
			})
			assert.NilError(t, w.SetRunnerFaults(spare, other))
			w.Runners[spare].Proxy.Heal()
			checkStreamsComplete(t, answers)
		})
	}
}

// TestRestingStreamIsKeptWhereverItBegan: the same, where streams began at both runners and both
// pause: one may break off at the spare once it has moved there for a pause.
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
			waitUntil(t, "all streams have begun", func() error {
				if at = runningByRunner(readHistory(t, w)); at[runners[0]]+at[runners[1]] < pausingStreams {
					return fmt.Errorf("%v have", at)
				}
				return nil
			})
			// The faults are of what runners begin from now on.
			spare := runners[1]
			if at[spare] > at[runners[0]] {
				spare = runners[0]
			}
			assert.NilError(t, w.SetRunnerFaults(spare, other))
			checkStreamsComplete(t, answers)
		})
	}
}

// restingStreams is how many streams pause, restingEvents how many events each has.
const pausingStreams, pausingStreamEvents = 4, 40

// spareFaults are what the runner does to which a resting stream may go.
var otherRunnerFaults = map[string]runnerstub.Faults{
	"refuses":    {ShedShare: 1},
	"fails":      {ErrorShare: 1},
	"breaks off": {BreakShare: 1},
	"is mute":    {MuteShare: 1},
}

// sendResting sends the streams to a node, and returns their answers as they come.
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

// checkWhole checks that each stream reaches its client whole.
func checkStreamsComplete(t *testing.T, answers <-chan clientAnswer) {
	t.Helper()
	for range pausingStreams {
		got := <-answers
		assert.Check(t, got.Status == http.StatusOK && got.Whole && got.Body == expectedEvents(got.ID, pausingStreamEvents), "%+v", got)
	}
}

// running counts the requests that runners began and did not end, by runner.
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

// A node that stood still took its own pause for its runners' silence: its timers fired
// before it had read what lay in its sockets, and it turned away from runners that had gone
// on all the time. Its log tells of such an attempt that it was ended for silence and that
// the runner had been heard of within the same millisecond:
//
//	"attempt failed","runner":"runner-2","attempt":1,"elapsedMs":2050,"endedBy":"silence","events":5,"silentMs":0
//
// TestOwnPauseIsNotARunnersSilence: a node is frozen for longer than streams may pause. They
// reach their clients whole, and no other runner is asked to go on with them.
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
	waitUntil(t, "all streams have begun", func() error {
		if at := runningByRunner(readHistory(t, w)); at["runner-1"]+at["runner-2"] < streams {
			return fmt.Errorf("%v have", at)
		}
		return nil
	})
	assert.NilError(t, nodes[0].Freeze())
	time.Sleep(2 * time.Second)
	assert.NilError(t, nodes[0].Thaw())
	for range streams {
		got := <-answers
		assert.Check(t, got.Status == http.StatusOK && got.Whole && got.Body == expectedEvents(got.ID, events), "%+v", got)
		assert.Check(t, runsOfRequest(readHistory(t, w), got.ID) == 1, "%s ran %d times", got.ID, runsOfRequest(readHistory(t, w), got.ID))
	}
}
