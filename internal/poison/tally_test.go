package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func numbered(number int) Identity {
	return Identity{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24), 1}
}

// TestRequestAtSeveralEndsIsFound: each end counts once, and what ran at one end only is not
// suspected of it.
func TestRequestAtSeveralEndsIsFound(t *testing.T) {
	tally := NewTally()
	guilty := numbered(0)
	assert.Equal(t, len(tally.Crashed("r1", []Identity{guilty, guilty, numbered(1)}, start)), 0)
	assert.Equal(t, len(tally.Crashed("r1", []Identity{guilty}, start)), 0, "another node tells of the same end")
	assert.DeepEqual(t, tally.Crashed("r2", []Identity{numbered(2), guilty}, start), []Finding{{Request: guilty, Runners: []string{"r1", "r2"}}})
	assert.Equal(t, len(tally.Crashed("r2", []Identity{guilty}, start)), 0, "no news")
	found := tally.Crashed("r3", []Identity{guilty}, start)
	assert.Equal(t, len(found[0].Runners), Refused)
}

// TestClearedRequestBeginsAnew: a try that ended well clears what was counted before it.
func TestClearedRequestBeginsAnew(t *testing.T) {
	tally := NewTally()
	tally.Crashed("r1", []Identity{numbered(0)}, start)
	tally.Crashed("r2", []Identity{numbered(0)}, start)
	assert.Assert(t, tally.Clear(numbered(0)))
	assert.Assert(t, !tally.Clear(numbered(0)))
	assert.Equal(t, len(tally.Crashed("r3", []Identity{numbered(0)}, start)), 0)
}

// TestTallyIsToldToTheNext: another tally knows what this one does.
func TestTallyIsToldToTheNext(t *testing.T) {
	first, next := NewTally(), NewTally()
	first.Crashed("r1", []Identity{numbered(0)}, start)
	first.Crashed("r2", []Identity{numbered(0), numbered(1)}, start)
	for runner, requests := range first.Crashes() {
		next.Crashed(runner, requests, start)
	}
	assert.Equal(t, len(next.Crashed("r3", []Identity{numbered(0)}, start)[0].Runners), Refused)
}

// TestOldEndsAreForgotten: they count for a bounded time.
func TestOldEndsAreForgotten(t *testing.T) {
	tally := NewTally()
	tally.Crashed("r1", []Identity{numbered(0)}, start)
	assert.Equal(t, len(tally.Crashed("r2", []Identity{numbered(0)}, start.Add(evidenceLifetime+1))), 0)
	assert.Equal(t, tally.Expire(start.Add(2*evidenceLifetime)), 1)
	assert.Equal(t, tally.Expire(start.Add(2*evidenceLifetime+2)), 0)
}

// TestFloodLeavesWhatIsSuspected: a million different requests, each at one end, neither
// fill the memory nor push out one that was at two.
func TestFloodLeavesWhatIsSuspected(t *testing.T) {
	tally := NewTally()
	tally.Crashed("r1", []Identity{numbered(0)}, start)
	tally.Crashed("r2", []Identity{numbered(0)}, start)
	for number := range 1_000_000 / 64 {
		batch := make([]Identity, 64)
		for index := range batch {
			batch[index] = numbered(1 + number*64 + index)
		}
		tally.Crashed(fmt.Sprint("flood", number), batch, start.Add(time.Duration(number)))
		assert.Assert(t, len(tally.entries) <= mostEntries)
	}
	assert.Equal(t, len(tally.Crashed("r3", []Identity{numbered(0)}, start)[0].Runners), Refused)
}

// TestOnlyWhatWasAtThreeEndsIsRefused: of whatever is told by whatever nodes in whatever
// order, a request is refused exactly if it was at three ends since it was cleared last.
func TestOnlyWhatWasAtThreeEndsIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally, marks := NewTally(), NewMarks()
		ends := make(map[Identity]map[string]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			request := numbered(rapid.IntRange(0, 5).Draw(t, "request"))
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				tally.Clear(request)
				marks.Drop(request)
				delete(ends, request)
				continue
			}
			runner := fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "runner"))
			if ends[request] == nil {
				ends[request] = make(map[string]bool)
			}
			ends[request][runner] = true
			marks.Put(tally.Crashed(runner, []Identity{request}, start), start)
		}
		for number := range 6 {
			mark, _ := marks.Find(numbered(number))
			assert.Equal(t, mark.Refused(), len(ends[numbered(number)]) >= Refused)
		}
	})
}
