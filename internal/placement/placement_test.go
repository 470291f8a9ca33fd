package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/wire"
)

// TestGrantsAreFeasibleAndDistinct: never a runner that is draining, unreachable
// or too small, never one twice, and the same answer for the same input.
func TestGrantsAreFeasibleAndDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		for index := range rapid.IntRange(0, 12).Draw(t, "candidates") {
			candidates = append(candidates, Candidate{
				Runner: fmt.Sprint("r", index), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				MemoryMiB: rapid.Int64Range(1, 100).Draw(t, "memory"), GrantedMiB: rapid.Int64Range(0, 200).Draw(t, "granted"),
				Draining: rapid.Bool().Draw(t, "draining"), Unreachable: rapid.Bool().Draw(t, "unreachable"),
			})
		}
		demand := Demand{Unit: "u", MemoryMiB: rapid.Int64Range(1, 100).Draw(t, "needs"), Count: rapid.IntRange(0, 6).Draw(t, "count")}
		chosen := Grants(demand, append([]Candidate(nil), candidates...))
		seen := make(map[string]bool)
		for _, c := range chosen {
			if c.Draining || c.Unreachable || c.MemoryMiB < demand.MemoryMiB || seen[c.Runner] {
				t.Fatalf("chose %+v", c)
			}
			seen[c.Runner] = true
		}
		if want := min(demand.Count, len(Feasible(demand.MemoryMiB, candidates))); len(chosen) != want {
			t.Fatalf("chose %d of %d", len(chosen), want)
		}
		again := Grants(demand, append([]Candidate(nil), candidates...))
		if fmt.Sprint(again) != fmt.Sprint(chosen) {
			t.Fatal("not the same twice")
		}
	})
}

// TestGrantsSpreadOverZones: two replicas go to two zones though one is emptier.
func TestGrantsSpreadOverZones(t *testing.T) {
	chosen := Grants(Demand{Unit: "u", MemoryMiB: 1, Count: 2}, []Candidate{
		{Runner: "a", Zone: "x", MemoryMiB: 100}, {Runner: "b", Zone: "x", MemoryMiB: 100}, {Runner: "c", Zone: "y", MemoryMiB: 100, GrantedMiB: 90},
	})
	assert.Assert(t, chosen[0].Zone != chosen[1].Zone)
}

// TestWakeCountsWhatIsUnderWay: a burst wakes one replica, not all, and the one
// whose checkpoint is nearest.
func TestWakeCountsWhatIsUnderWay(t *testing.T) {
	replicas := []wire.Replica{
		{Runner: "far", Tier: wire.TierRemote}, {Runner: "near", Tier: wire.TierDisk}, {Runner: "other", Tier: wire.TierRemote},
	}
	wanted := Wanted(0, 5, 0, 16)
	assert.Equal(t, wanted, 1)
	woken := Wake(replicas, wanted, "")
	assert.Equal(t, len(woken), 1)
	assert.Equal(t, woken[0].Runner, "near")
	replicas[1].State = wire.ReplicaLoading
	assert.Equal(t, len(Wake(replicas, wanted, "")), 0)
	assert.Equal(t, Wanted(2, 0, 0, 16), 2)
}
