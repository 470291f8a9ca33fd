package reach

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

var errTest = errors.New("refused")

func testTracker() (*Tracker, *time.Time) {
	now := time.Unix(1000, 0)
	return New(func() time.Time { return now }, logr.Discard()), &now
}

// TestFiguresFollowAttempts: the last attempt at a runner decides whether it counts as
// reached, and runners that nobody tries are forgotten.
func TestFiguresFollowAttempts(t *testing.T) {
	tracker, now := testTracker()
	tracker.Connected(Runner{Name: "a"})
	tracker.Failed(Runner{Name: "b"}, errTest)
	tracker.Failed(Runner{Name: "c"}, errTest)
	assert.DeepEqual(t, tracker.Figures(), Figures{Reached: 1, Unreached: 2})
	tracker.Connected(Runner{Name: "c"})
	assert.DeepEqual(t, tracker.Figures(), Figures{Reached: 2, Unreached: 1})
	*now = now.Add(pathLifetime)
	tracker.Connected(Runner{Name: "a"})
	*now = now.Add(time.Second)
	assert.DeepEqual(t, tracker.Figures(), Figures{Reached: 1})
}

// TestNilTrackerTracksNothing: a pool without a tracker works.
func TestNilTrackerTracksNothing(t *testing.T) {
	var tracker *Tracker
	tracker.Connected(Runner{Name: "a"})
	tracker.Failed(Runner{Name: "a"}, errTest)
	assert.DeepEqual(t, tracker.Figures(), Figures{})
}

// TestPathIsBrokenWhereOnlyPeersReach: a failed attempt alone does not make a path broken, nor
// one that peers share; a peer's success beside it does, until the node connects again.
func TestPathIsBrokenWhereOnlyPeersReach(t *testing.T) {
	tracker, now := testTracker()
	r := Runner{Name: "a", Address: "10.0.0.1:1"}
	assert.Equal(t, tracker.Way(r), Direct)
	tracker.Failed(r, errTest)
	assert.Equal(t, tracker.Way(r), Either)
	tracker.PeersFailed(r, true)
	assert.Equal(t, tracker.Way(r), Alone)
	assert.Assert(t, tracker.RefusesPeers("a"))
	*now = now.Add(peersFailedLifetime)
	assert.Equal(t, tracker.Way(r), Either)
	tracker.PeerConnected(r)
	assert.Equal(t, tracker.Way(r), ViaPeer)
	since, broken := tracker.BrokenSince("a")
	assert.Assert(t, broken && since.Equal(now.Add(-peersFailedLifetime)))
	tracker.Connected(r)
	assert.Equal(t, tracker.Way(r), Direct)
	*now = now.Add(2 * peerReachedLifetime)
	tracker.Failed(r, errTest)
	assert.Equal(t, tracker.Way(r), Either, "the peer's success is older than the failure")
}

// TestOneSilentRunnerIsNoCut: a runner that is silent for everyone, for a while, does not make
// the node count as cut off, and neither do several that peers do not reach.
func TestOneSilentRunnerIsNoCut(t *testing.T) {
	tracker, _ := testTracker()
	for _, name := range []string{"a", "b", "c"} {
		tracker.Failed(Runner{Name: name}, errTest)
		tracker.PeersFailed(Runner{Name: name}, false)
	}
	assert.Assert(t, !tracker.CutOff())
	tracker.Failed(Runner{Name: "d"}, errTest)
	tracker.PeerConnected(Runner{Name: "d"})
	assert.Assert(t, !tracker.CutOff(), "one broken path")
}

// TestCutOffIsMostOfThePaths: the node counts as cut off while most of the paths that it tried since
// the first of them broke are broken.
func TestCutOffIsMostOfThePaths(t *testing.T) {
	tracker, now := testTracker()
	breakPath := func(name string) {
		tracker.Failed(Runner{Name: name}, errTest)
		tracker.PeerConnected(Runner{Name: name})
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		tracker.Connected(Runner{Name: name})
	}
	breakPath("a")
	breakPath("b")
	assert.Assert(t, tracker.CutOff(), "the others were tried before")
	*now = now.Add(time.Millisecond)
	tracker.Connected(Runner{Name: "d"})
	tracker.Connected(Runner{Name: "e"})
	assert.Assert(t, !tracker.CutOff(), "as many paths work")
	breakPath("c")
	assert.Assert(t, tracker.CutOff())
	assert.Equal(t, tracker.Way(Runner{Name: "new"}), Either)
	*now = now.Add(recently)
	assert.Equal(t, tracker.Way(Runner{Name: "d"}), Either, "d worked a while ago")
	tracker.Connected(Runner{Name: "b"})
	tracker.Connected(Runner{Name: "c"})
	assert.Assert(t, !tracker.CutOff())
}

// TestBrokenPathsInUseAreRetried: a few at a time, not again at once, and only those in use. A
// success makes the others due soon.
func TestBrokenPathsInUseAreRetried(t *testing.T) {
	tracker, now := testTracker()
	for _, name := range []string{"a", "b", "c", "d"} {
		r := Runner{Name: name, Address: name + ":1"}
		tracker.Way(r)
		tracker.Failed(r, errTest)
		tracker.PeerConnected(r)
	}
	assert.Equal(t, len(tracker.TakeDue(4)), 0)
	*now = now.Add(2 * retryInterval)
	first := tracker.TakeDue(3)
	assert.Equal(t, len(first), 3)
	assert.Equal(t, len(tracker.TakeDue(3)), 1)
	assert.Equal(t, len(tracker.TakeDue(3)), 0)
	tracker.Connected(first[0])
	*now = now.Add(retryInterval)
	assert.Equal(t, len(tracker.TakeDue(4)), 3)
	*now = now.Add(retriedAfterUse)
	assert.Equal(t, len(tracker.TakeDue(4)), 0)
}

// TestChecksAreRare: a path is checked once a while, and not while a connection to its runner
// was just made.
func TestChecksAreRare(t *testing.T) {
	tracker, now := testTracker()
	r := Runner{Name: "a"}
	tracker.Connected(r)
	assert.Assert(t, !tracker.BeginCheck(r))
	*now = now.Add(checkInterval)
	assert.Assert(t, tracker.BeginCheck(r))
	assert.Assert(t, !tracker.BeginCheck(r))
	*now = now.Add(checkInterval)
	tracker.Failed(r, errTest)
	assert.Assert(t, tracker.BeginCheck(r))
}

// BenchmarkWay measures the decision how to connect by the number of paths that are tracked.
func BenchmarkWay(b *testing.B) {
	for _, paths := range []int{8, 64, 512, 4096} {
		b.Run(strconv.Itoa(paths), func(b *testing.B) {
			tracker, now := testTracker()
			for number := range paths {
				tracker.Connected(Runner{Name: strconv.Itoa(number)})
			}
			*now = now.Add(recently)
			for b.Loop() {
				tracker.Way(Runner{Name: "0"})
			}
		})
	}
}
