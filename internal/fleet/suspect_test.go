package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// TestSilentRunnerGetsNothing checks that a runner which the holder found silent gets no
// request until the holder's report is too old or the runner has answered this node.
func TestSilentRunnerGetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	unit := backend.Unit{Model: "m"}
	f := New("zone", func() time.Time { return now }, noRules{})
	f.Apply([]backend.Runner{{ID: "r", Service: "s", Models: []backend.Holding{{Model: "m"}}}}, nil, false)
	query := Query{Service: "s", Unit: unit}
	first, found := f.Choose(query)
	assert.Assert(t, found)
	silent := View{Runner: "r", Ready: []backend.Holding{{Model: "m"}}, Silent: true}
	f.ApplyViews([]View{silent}, 0)
	_, found = f.Choose(query)
	assert.Assert(t, !found)
	assert.Assert(t, !f.Holds("s", "m", place.Homes{}))
	now = now.Add(time.Millisecond)
	f.Done(first, query, Served, time.Millisecond, true)
	_, found = f.Choose(query)
	assert.Assert(t, found, "the runner answered this node")
	now = now.Add(time.Second)
	f.ApplyViews([]View{silent}, 0)
	_, found = f.Choose(query)
	assert.Assert(t, !found)
	now = now.Add(silentLifetime)
	_, found = f.Choose(query)
	assert.Assert(t, found, "the holder did not repeat its report")
}

// TestSuspicionsAreReturnedOnce checks that a runner is suspected at most once per interval and
// returned once.
func TestSuspicionsAreReturnedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New("zone", func() time.Time { return now }, noRules{})
	f.Apply([]backend.Runner{{ID: "r", Service: "s"}, {ID: "q", Service: "other"}}, nil, false)
	assert.Assert(t, !f.Suspect("unknown"))
	assert.Assert(t, f.Suspect("r"))
	assert.Assert(t, f.Suspect("q"))
	assert.Assert(t, !f.Suspect("r"))
	assert.DeepEqual(t, f.TakeSuspects("s"), []string{"r"})
	assert.Equal(t, len(f.TakeSuspects("s")), 0)
	now = now.Add(suspectInterval)
	assert.Assert(t, f.Suspect("r"))
}
