package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/demand"
	"lilacvane/internal/fleet"
)

// TestWaitFollowsVersion: a request that waits for a version which is no longer
// the active one is served by the new one.
func TestWaitFollowsVersion(t *testing.T) {
	old, current := backend.Unit{Model: "alpha"}, backend.Unit{Model: "alpha-2"}
	known := fleet.New("zone", time.Now, noRules{})
	known.Replace([]backend.Runner{{ID: "r1", Service: "s", Models: []backend.Holding{{Model: current.Model}}}}, false)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	asked := 0
	j := &job{
		dispatcher: &Dispatcher{
			Fleet: known, Demand: demand.NewBook(), Configuration: func() *config.Configuration { return &config.Configuration{} },
		},
		log:      logr.Discard(),
		route:    &config.Route{Kind: config.Safe, Attempts: 1},
		engine:   true,
		query:    fleet.Query{Service: "s", Unit: old},
		deadline: time.Now().Add(time.Hour),
		request: &Request{Arrived: time.Now(), Resolve: func() (backend.Unit, error) {
			asked++
			if asked == 1 {
				return old, nil
			}
			return current, nil
		}},
	}
	choice, err := j.place(ctx)
	assert.NilError(t, err)
	assert.Equal(t, choice.Runner.ID, "r1")
	assert.Equal(t, j.query.Unit, current)
}
