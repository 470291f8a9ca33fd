package test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

const (
	// returnPeriod is for how long clients try to take their streams up again.
	returnPeriod = 6 * time.Second
	// savePeriod is within what time a stream is known beyond the loss of all nodes.
	savePeriod = time.Second
)

// beginAtAll begins streams at all nodes in turn.
func (w *buildWorld) beginAtAll(t *testing.T) []begunStream {
	t.Helper()
	var streams []begunStream
	for number := range resumedStreams {
		streams = append(streams, begin(t, w.nodes[number%len(w.nodes)]))
	}
	return streams
}

// restartAll kills all nodes at once and starts them again without waiting for them.
func (w *buildWorld) restartAll(t *testing.T) {
	t.Helper()
	for _, node := range w.nodes {
		node.Kill()
	}
	var starts sync.WaitGroup
	for _, node := range w.nodes {
		starts.Go(func() { assert.Check(t, w.world.RestartNode(node)) })
	}
	t.Cleanup(starts.Wait)
}

// retakeAll takes streams up until they go on or returnPeriod is over. It returns how many go on at the build
// that began them and how many at another one.
func (w *buildWorld) retakeAll(t *testing.T, streams []begunStream, named bool) (whole, joined int) {
	t.Helper()
	var mutex sync.Mutex
	var clients sync.WaitGroup
	statuses, begun := make(map[int]int), make(map[string]int)
	until := time.Now().Add(returnPeriod)
	for number, s := range streams {
		begun[s.build]++
		clients.Go(func() {
			for time.Now().Before(until) {
				got := s.retake(t, w.nodes[number%len(w.nodes)], named)
				mutex.Lock()
				statuses[got.Status]++
				for build := range buildsIn(got.Body) {
					if build != s.build {
						joined++
					} else if got.Complete {
						whole++
					}
				}
				mutex.Unlock()
				if got.Status == http.StatusOK {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	t.Logf("of %v %d go on, %d joined, by status %v", begun, whole, joined, statuses)
	return whole, joined
}

// retake takes the stream up at a node; the client may not name it.
func (s begunStream) retake(t *testing.T, node *world.Node, named bool) clientAnswer {
	request := s.resumed()
	if !named {
		request.Header.Del(protocol.HeaderResumes)
	}
	return send(t.Context(), node, request)
}

// TestStreamsWereJoinedAfterAllNodesDied: the runners of one of two builds left, then all nodes were killed and
// started; streams of that build went on at the other one.
func TestStreamsWereJoinedAfterAllNodesDied(t *testing.T) {
	t.Parallel()
	for _, leaves := range []bool{true, false} {
		for _, named := range []bool{true, false} {
			t.Run(fmt.Sprintf("leaves=%v,named=%v", leaves, named), func(t *testing.T) {
				w := startBuildWorld(t, 4, "b1", "b2")
				streams := w.beginAtAll(t)
				if leaves {
					for number := range runnersPerBuild {
						killRunner(t, w.world, "runner-"+strconv.Itoa(number+1))
					}
					waitUntil(t, "the runners are not listed any more", func() error {
						if got := len(runnersHolding(t, w.nodes[1], "alpha")); got != runnersPerBuild {
							return fmt.Errorf("%d hold it", got)
						}
						return nil
					})
				}
				w.restartAll(t)
				_, joined := w.retakeAll(t, streams, named)
				assert.Equal(t, joined, 0)
			})
		}
	}
}

// TestStreamsOfTwoBuildsWereRefusedAfterAllNodesDied: both builds still served, and no stream went on, as nobody knew
// which of them had begun it.
func TestStreamsOfTwoBuildsWereRefusedAfterAllNodesDied(t *testing.T) {
	t.Parallel()
	w := startBuildWorld(t, 4, "b1", "b2")
	streams := w.beginAtAll(t)
	time.Sleep(savePeriod)
	w.restartAll(t)
	whole, joined := w.retakeAll(t, streams, true)
	assert.Equal(t, joined, 0)
	assert.Check(t, float64(whole) >= leastResumedShare*float64(len(streams)))
}

// TestStreamsOfTheOnlyBuildWereRefusedAfterAllNodesDied: no other build had served, and streams that clients took
// up were refused, named or not.
func TestStreamsOfTheOnlyBuildWereRefusedAfterAllNodesDied(t *testing.T) {
	t.Parallel()
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprintf("named=%v", named), func(t *testing.T) {
			w := startBuildWorld(t, 4, "b1")
			streams := w.beginAtAll(t)
			w.restartAll(t)
			whole, _ := w.retakeAll(t, streams, named)
			assert.Check(t, float64(whole) >= leastResumedShare*float64(len(streams)))
		})
	}
}

// takeUpOnce takes streams up at nodes that start, and returns how many go on of those that are not told to begin anew.
func (w *buildWorld) takeUpOnce(t *testing.T, streams []begunStream) (whole int) {
	t.Helper()
	var mutex sync.Mutex
	var clients sync.WaitGroup
	statuses := make(map[int]int)
	until := time.Now().Add(returnPeriod)
	for number, s := range streams {
		clients.Go(func() {
			for time.Now().Before(until) {
				got := s.retake(t, w.nodes[number%len(w.nodes)], true)
				mutex.Lock()
				statuses[got.Status]++
				if got.Complete && buildsIn(got.Body)[s.build] {
					whole++
				}
				mutex.Unlock()
				if got.Status == http.StatusOK || got.Status == http.StatusMisdirectedRequest {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	t.Logf("of %d %d go on, by status %v", len(streams), whole, statuses)
	return whole
}

// TestWrittenStreamsWereRefusedAsNodesStarted: nodes that had just started refused streams for good which keepers
// were about to read.
func TestWrittenStreamsWereRefusedAsNodesStarted(t *testing.T) {
	t.Parallel()
	w := startBuildWorld(t, 4, "b1", "b2")
	streams := w.beginAtAll(t)
	time.Sleep(savePeriod)
	w.restartAll(t)
	whole := w.takeUpOnce(t, streams)
	assert.Check(t, float64(whole) >= leastResumedShare*float64(len(streams)))
}
