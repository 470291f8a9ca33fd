package poison

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func testIdentity(number int) Identity {
	return Identity{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24), 1, partTag: 1}
}

// TestRepeatedCrashesAreFound: each crash counts once, and a request involved in a single
// crash is not suspected.
func TestRepeatedCrashesAreFound(t *testing.T) {
	tally := NewTally()
	culprit := testIdentity(0)
	assert.Equal(t, len(tally.RecordCrash("r1", []Identity{culprit, culprit, testIdentity(1)}, start)), 0)
	assert.Equal(t, len(tally.RecordCrash("r1", []Identity{culprit}, start)), 0, "another node reports the same crash")
	assert.DeepEqual(t, tally.RecordCrash("r2", []Identity{testIdentity(2), culprit}, start), []Finding{{Request: culprit, Runners: []string{"r1", "r2"}}})
	assert.Equal(t, len(tally.RecordCrash("r2", []Identity{culprit}, start)), 0, "already known")
	found := tally.RecordCrash("r3", []Identity{culprit}, start)
	assert.Equal(t, len(found[0].Runners), RefuseThreshold)
}

// TestStruckCrashesDoNotCount: crashes that were struck do not count, also if they are reported
// again or only afterwards, and others do.
func TestStruckCrashesDoNotCount(t *testing.T) {
	tally := NewTally()
	tally.RecordCrash("r1", []Identity{testIdentity(0)}, start)
	tally.RecordCrash("r2", []Identity{testIdentity(0)}, start)
	assert.Assert(t, tally.Contains(testIdentity(0)))
	tally.Strike(testIdentity(0), []string{"r1", "r2", "late"}, start)
	assert.Assert(t, !tally.Contains(testIdentity(0)))
	for _, runner := range []string{"r1", "late", "r3"} {
		assert.Equal(t, len(tally.RecordCrash(runner, []Identity{testIdentity(0)}, start)), 0, runner)
	}
	assert.DeepEqual(t, tally.Runners(testIdentity(0)), []string{"r3"})
	struck, discounted := tally.Struck(testIdentity(0))
	assert.DeepEqual(t, struck, []string{"r1", "r2", "late"})
	assert.Equal(t, len(discounted), 0)
}

// TestTallyTransfer: a tally that gets the crashes of another one has the same counts.
func TestTallyTransfer(t *testing.T) {
	first, next := NewTally(), NewTally()
	first.RecordCrash("r1", []Identity{testIdentity(0)}, start)
	first.RecordCrash("r2", []Identity{testIdentity(0), testIdentity(1)}, start)
	for runner, requests := range first.Crashes() {
		next.RecordCrash(runner, requests, start)
	}
	assert.Equal(t, len(next.RecordCrash("r3", []Identity{testIdentity(0)}, start)[0].Runners), RefuseThreshold)
}

// TestOldCrashesExpire: crashes count for a bounded time.
func TestOldCrashesExpire(t *testing.T) {
	tally := NewTally()
	tally.RecordCrash("r1", []Identity{testIdentity(0)}, start)
	assert.Equal(t, len(tally.RecordCrash("r2", []Identity{testIdentity(0)}, start.Add(evidenceLifetime+1))), 0)
	assert.Equal(t, tally.Expire(start.Add(2*evidenceLifetime)), 1)
	assert.Equal(t, tally.Expire(start.Add(2*evidenceLifetime+2)), 0)
}

// TestFloodDoesNotEvictSuspects: a million different requests with one crash each neither
// exhaust memory nor evict a request with two.
func TestFloodDoesNotEvictSuspects(t *testing.T) {
	tally := NewTally()
	tally.RecordCrash("r1", []Identity{testIdentity(0)}, start)
	tally.RecordCrash("r2", []Identity{testIdentity(0)}, start)
	for number := range 1_000_000 / 64 {
		batch := make([]Identity, 64)
		for index := range batch {
			batch[index] = testIdentity(1 + number*64 + index)
		}
		tally.RecordCrash(fmt.Sprint("flood", number), batch, start.Add(time.Duration(number)))
		assert.Assert(t, len(tally.entries) <= maxEntries)
	}
	assert.Equal(t, len(tally.RecordCrash("r3", []Identity{testIdentity(0)}, start)[0].Runners), RefuseThreshold)
}

// TestThreeCrashesAreRefused: whichever nodes report crashes in whichever order, a
// request is refused exactly if it was involved in three crashes that were not struck before.
func TestThreeCrashesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally, marks := NewTally(), NewMarks()
		crashes, struck := make(map[Identity]map[string]bool), make(map[Identity]map[string]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			request := testIdentity(rapid.IntRange(0, 5).Draw(t, "request"))
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				tally.Strike(request, tally.Runners(request), start)
				marks.Drop(request)
				if struck[request] == nil {
					struck[request] = make(map[string]bool)
				}
				maps.Copy(struck[request], crashes[request])
				delete(crashes, request)
				continue
			}
			runner := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "runner"))
			if crashes[request] == nil {
				crashes[request] = make(map[string]bool)
			}
			if !struck[request][runner] {
				crashes[request][runner] = true
			}
			marks.Put(tally.RecordCrash(runner, []Identity{request}, start), start)
		}
		for number := range 6 {
			mark, _ := marks.Find(testIdentity(number))
			assert.Equal(t, mark.Refused(), len(crashes[testIdentity(number)]) >= RefuseThreshold)
		}
	})
}
