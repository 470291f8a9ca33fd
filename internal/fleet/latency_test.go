package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// regionFleet returns a fleet for a node in region north, with the given numbers of runners in
// its own and in another region; each runner holds m and has the given number of slots.
func regionFleet(near, far, slots int) *Fleet {
	f, _ := testFleet()
	f.SetRegion("north")
	var runners []backend.Runner
	for number := range near {
		runners = append(runners, listedIn("north", fmt.Sprintf("near-%d", number), "m"))
	}
	for number := range far {
		runners = append(runners, listedIn("south", fmt.Sprintf("far-%d", number), "m"))
	}
	for number := range runners {
		runners[number].Slots = slots
	}
	f.Replace(runners, false)
	return f
}

var forM = Query{Service: "s", Unit: backend.Unit{Model: "m"}, Prompt: []Part{{ID: "a", Tokens: 100}}}

// TestNearRunnersGoFirst checks that a runner in another region is chosen once the local ones
// are busier than the extra latency is worth, and earlier if that latency turns out to be
// short.
func TestNearRunnersGoFirst(t *testing.T) {
	sentNear := func(f *Fleet) int {
		for count := range 100 {
			if choice, _ := f.Choose(forM); choice.Runner.Region != "north" {
				return count
			}
		}
		return 100
	}
	assumed := sentNear(regionFleet(1, 1, 64))
	assert.Assert(t, assumed > 1 && assumed < 100, "%d", assumed)
	long := regionFleet(1, 1, 64)
	long.ObserveLatency("near-0", 2*time.Millisecond)
	long.ObserveLatency("far-0", 202*time.Millisecond)
	assert.Assert(t, sentNear(long) > assumed)
	short := regionFleet(1, 1, 64)
	short.ObserveLatency("near-0", 2*time.Millisecond)
	short.ObserveLatency("far-0", 3*time.Millisecond)
	assert.Assert(t, sentNear(short) < assumed)
}

// TestLoadQueriesStayLocal checks that runners of other regions are asked for their load only
// if local runners with free slots leave no choice.
func TestLoadQueriesStayLocal(t *testing.T) {
	f := regionFleet(2, 3, 16)
	for range 8 {
		for _, asked := range f.Candidates(forM, 2) {
			assert.Equal(t, asked.Region, "north")
		}
		f.Choose(forM)
	}
	f.ObserveWorkload("near-0", backend.Workload{Running: 16, Waiting: 9})
	f.ObserveWorkload("near-1", backend.Workload{Running: 16, Waiting: 9})
	assert.Equal(t, f.Candidates(forM, 2)[0].Region, "south")
	assert.Equal(t, len(regionFleet(0, 2, 16).Candidates(forM, 2)), 2)
}

// TestLatencyIsLowestRecentOne checks that the latency of a region is the lowest recent one: a
// single slow answer changes it little, a longer path changes it over time.
func TestLatencyIsLowestRecentOne(t *testing.T) {
	f := regionFleet(1, 1, 64)
	far := []backend.Runner{listedIn("south", "far-0")}
	assert.Equal(t, f.ExtraLatency(far), assumedExtraLatency)
	f.ObserveLatency("far-0", 30*time.Millisecond)
	f.ObserveLatency("far-0", time.Second)
	assert.Assert(t, f.ExtraLatency(far) < 60*time.Millisecond)
	for range 500 {
		f.ObserveLatency("far-0", time.Second)
	}
	assert.Assert(t, f.ExtraLatency(far) > 900*time.Millisecond)
	assert.Equal(t, f.ExtraLatency([]backend.Runner{listedIn("north", "near-0"), listedIn("", "unknown")}), time.Duration(0))
}
