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
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

// TestWaitFollowsVersion checks that a request that waits for a version which is no longer active
// is served by the new one.
func TestWaitFollowsVersion(t *testing.T) {
	old, current := backend.Unit{Model: "alpha"}, backend.Unit{Model: "alpha-2"}
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	runnerFleet.Replace([]backend.Runner{{ID: "r1", Service: "s", Models: []backend.Holding{{Model: current.Model}}}}, false)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	calls := 0
	j := &job{
		dispatcher: &Dispatcher{
			Fleet: runnerFleet, Demand: demand.NewTracker(), Configuration: func() *config.Configuration { return &config.Configuration{} },
		},
		log:      logr.Discard(),
		route:    &config.Route{Kind: config.Safe, Attempts: 1},
		engine:   true,
		query:    fleet.Query{Service: "s", Unit: old},
		deadline: time.Now().Add(time.Hour),
		request: &Request{Arrived: time.Now(), Resolve: func() (backend.Unit, error) {
			calls++
			if calls == 1 {
				return old, nil
			}
			return current, nil
		}},
	}
	choice, err := j.selectRunner(ctx)
	assert.NilError(t, err)
	assert.Equal(t, choice.Runner.ID, "r1")
	assert.Equal(t, j.query.Unit, current)
}

// waitingFor is a request for model alpha of service s that arrived just now and may wait for the
// given time.
func waitingFor(runnerFleet *fleet.Fleet, within time.Duration) *job {
	return &job{
		dispatcher: &Dispatcher{
			Fleet: runnerFleet, Demand: demand.NewTracker(), Configuration: func() *config.Configuration { return &config.Configuration{} },
		},
		log: logr.Discard(), route: &config.Route{Kind: config.Safe, Attempts: 1}, engine: true,
		query:    fleet.Query{Service: "s", Unit: backend.Unit{Model: "alpha"}},
		deadline: time.Now().Add(within), request: &Request{Arrived: time.Now()},
	}
}

// TestWaitRecordsObstacles checks that the outcome of a request that no runner could take says why,
// also when the reason changed while it waited, and that of a request that was sent at once does
// not.
func TestWaitRecordsObstacles(t *testing.T) {
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	runnerFleet.Replace([]backend.Runner{{ID: "r1", Service: "s"}}, false)
	j := waitingFor(runnerFleet, 2*time.Second)
	leaving := time.AfterFunc(20*time.Millisecond, func() {
		runnerFleet.Apply([]backend.Runner{{ID: "r1", Service: "s", Draining: true, Models: []backend.Holding{{Model: "alpha"}}}}, nil, false)
	})
	defer leaving.Stop()
	_, err := j.selectRunner(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeDraining))
	assert.Equal(t, j.outcome.Unplaced.Obstacles.MainReason().String(), "draining")

	runnerFleet.Replace([]backend.Runner{{ID: "r2", Service: "s", Models: []backend.Holding{{Model: "alpha"}}}}, false)
	j = waitingFor(runnerFleet, 2*time.Second)
	_, err = j.selectRunner(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, j.outcome.Unplaced == nil)
}
