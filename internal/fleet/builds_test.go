package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// TestBuildState checks when a request that is bound to a build may still be served.
func TestBuildState(t *testing.T) {
	holding := []backend.Holding{{Model: "m"}}
	build := backend.Build("b1")
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}, Build: &build, Exclude: []string{"tried"}}
	tried := backend.Runner{ID: "tried", Service: "s", Build: "b1", Models: holding}
	empty := backend.Runner{ID: "empty", Service: "s", Build: "b1"}
	other := backend.Runner{ID: "other", Service: "s", Build: "b2", Models: holding}
	holds := backend.Runner{ID: "holds", Service: "s", Build: "b1", Models: holding}
	leaving := backend.Runner{ID: "leaving", Service: "s", Build: "b1", Models: holding, Draining: true}
	for name, test := range map[string]struct {
		runners []backend.Runner
		state   BuildState
	}{
		"none":                   {nil, BuildGone},
		"only other builds":      {[]backend.Runner{other}, BuildGone},
		"tried or leaving":       {[]backend.Runner{tried, leaving, other}, BuildGone},
		"holds it":               {[]backend.Runner{tried, other, holds}, BuildServes},
		"another build holds it": {[]backend.Runner{empty, other}, BuildLacksUnit},
		"nobody holds it":        {[]backend.Runner{empty, tried}, BuildServes},
	} {
		f := New("zone", time.Now, noRules{})
		f.Replace(test.runners, false)
		assert.Equal(t, f.BuildState(query), test.state, name)
	}
	f := New("zone", time.Now, noRules{})
	f.Replace([]backend.Runner{other, empty}, false)
	_, found := f.Choose(query)
	assert.Assert(t, !found, "another build is not chosen")
	obstacles := f.Obstacles(query)
	assert.Assert(t, len(obstacles) > 0)
}
