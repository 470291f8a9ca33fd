package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/place"
)

var (
	north = place.NewHomes([]place.Region{"north"})
	south = place.NewHomes([]place.Region{"south"})
)

func listedIn(region, id string, models ...string) backend.Runner {
	runner := listed(id, models...)
	runner.Region, runner.Zone = region, region+"-zone"
	return runner
}

// TestNoChoiceLeavesHomes checks that a request is never sent to a runner outside its homes,
// and that no such runner is asked for its load, whatever the fleet, its load and the earlier
// attempts. A runner without a known region is outside all homes.
func TestNoChoiceLeavesHomes(t *testing.T) {
	regions := []string{"north", "south", "east", ""}
	rapid.Check(t, func(t *rapid.T) {
		f, c := testFleet()
		count := rapid.IntRange(0, 8).Draw(t, "runners")
		for number := range count {
			runner := listedIn(rapid.SampledFrom(regions).Draw(t, "region"), fmt.Sprint(number), "m")
			runner.Draining = rapid.Bool().Draw(t, "draining")
			f.Apply([]backend.Runner{runner}, nil, false)
		}
		var chosen []place.Region
		for range rapid.IntRange(0, 2).Draw(t, "homes") {
			chosen = append(chosen, place.Region(rapid.SampledFrom(regions[:3]).Draw(t, "home")))
		}
		query := Query{Service: "s", Unit: backend.Unit{Model: "m"}, Homes: place.NewHomes(chosen), Prompt: []Part{{ID: "a", Tokens: 900}, {ID: "b", Tokens: 10}}}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			for _, asked := range f.Candidates(query, 2) {
				assert.Assert(t, query.Homes.Allows(place.Region(asked.Region)), "asked %s in %q", asked.ID, asked.Region)
			}
			choice, ok := f.Choose(query)
			if !ok {
				break
			}
			assert.Assert(t, query.Homes.Allows(place.Region(choice.Runner.Region)), "sent to %s in %q", choice.Runner.ID, choice.Runner.Region)
			assert.Assert(t, f.Serves("s", query.Homes))
			result := rapid.SampledFrom([]Result{Served, Failed, Busy, NotHeld, Unreachable}).Draw(t, "result")
			f.Done(choice, query, result, time.Millisecond, false)
			if rapid.Bool().Draw(t, "exclude") {
				query.Exclude = append(query.Exclude, choice.Runner.ID)
			}
			if rapid.Bool().Draw(t, "vanish") {
				f.Apply(nil, []string{choice.Runner.ID}, rapid.Bool().Draw(t, "doubtful"))
			}
			c.now = c.now.Add(100 * time.Millisecond)
		}
	})
}

// TestEstimatesAreOfHomes checks that estimates for a request ignore what is held, loading,
// planned or copied outside its homes.
func TestEstimatesAreOfHomes(t *testing.T) {
	f, _ := testFleet()
	there := listedIn("south", "r1", "m")
	there.Copies.Host = []string{"next"}
	f.Replace([]backend.Runner{there, listedIn("north", "r2")}, false)
	next := &config.Model{Name: "next", LoadTime: 4 * time.Second, HostLoadTime: time.Second}
	assert.Assert(t, f.Holds("s", "m", south) && f.Holds("s", "m", place.Homes{}) && !f.Holds("s", "m", north))
	assert.Equal(t, f.LoadTime("s", next, south), time.Second)
	assert.Equal(t, f.LoadTime("s", next, north), 4*time.Second)
	f.ApplyViews([]View{{Runner: "r1", Pending: []PendingUnit{{Unit: backend.Unit{Model: "next"}, In: time.Second}}}}, 0)
	_, found := f.Expected("s", backend.Unit{Model: "next"}, north)
	assert.Assert(t, !found)
	in, found := f.Expected("s", backend.Unit{Model: "next"}, south)
	assert.Assert(t, found && in == time.Second)
	f.ApplyPlanned("s", []PendingUnit{{Unit: backend.Unit{Model: "last"}, In: 2 * time.Second, Homes: north}})
	_, planned := f.Expected("s", backend.Unit{Model: "last"}, south)
	assert.Assert(t, !planned)
	in, planned = f.Expected("s", backend.Unit{Model: "last"}, north)
	assert.Assert(t, planned && in == 2*time.Second)
	in, planned = f.Expected("s", backend.Unit{Model: "last"}, place.Homes{})
	assert.Assert(t, planned && in == 2*time.Second)
}

// TestServesByListAlone checks that a runner listed in the homes counts as able to serve a
// request later, also while it is draining, full or holds nothing, and that runners of other
// services or regions never count.
func TestServesByListAlone(t *testing.T) {
	f, _ := testFleet()
	leaving := listedIn("north", "r1")
	leaving.Draining = true
	f.Replace([]backend.Runner{leaving, listedIn("", "r2")}, false)
	assert.Assert(t, f.Serves("s", north))
	assert.Assert(t, !f.Serves("s", south))
	assert.Assert(t, !f.Serves("other", north))
	assert.Assert(t, !f.Serves("s", place.NewHomes([]place.Region{""})))
	f.Replace([]backend.Runner{listedIn("", "r2")}, true)
	assert.Assert(t, f.Serves("s", north), "a missing runner counts while the list is doubtful")
}

// TestOtherRunnerInHomes checks that a runner counts as another one if it is in the homes, not excluded and
// holds the unit.
func TestOtherRunnerInHomes(t *testing.T) {
	f, _ := testFleet()
	first, second := listedIn("north", "r1"), listedIn("north", "r2")
	f.Replace([]backend.Runner{first, second, listedIn("south", "r3")}, false)
	query := Query{Service: "s", Homes: north, Exclude: []string{first.ID}}
	assert.Assert(t, f.HasOther(query))
	query.Exclude = append(query.Exclude, second.ID)
	assert.Assert(t, !f.HasOther(query))
	query.Exclude, query.Unit = nil, backend.Unit{Model: "not held"}
	assert.Assert(t, !f.HasOther(query))
}
