package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// TestHomesOfRouteAndTenantBothBind checks that a request may be served only where both its route
// and its tenant allow it.
func TestHomesOfRouteAndTenantBothBind(t *testing.T) {
	north, both := place.NewHomes([]place.Region{"north"}), place.NewHomes([]place.Region{"north", "south"})
	for _, test := range []struct {
		name          string
		route, tenant place.Homes
		want          string
	}{
		{"none", place.Homes{}, place.Homes{}, "any"},
		{"route alone", north, place.Homes{}, "north"},
		{"tenant alone", place.Homes{}, north, "north"},
		{"both", both, north, "north"},
		{"nothing in common", north, place.NewHomes([]place.Region{"south"}), "none"},
	} {
		j := &job{route: &config.Route{Homes: test.route}, tenant: &tenant.Tenant{Homes: test.tenant}}
		assert.Equal(t, j.homes().String(), test.want, test.name)
		assert.Equal(t, j.outcome.Homes.String(), test.want, test.name)
	}
}

// TestHomesWithoutRunnerAreRefused checks that a request that no listed runner may ever take is
// refused as not run, with its reason and a retry time, and that one that a runner may take waits.
func TestHomesWithoutRunnerAreRefused(t *testing.T) {
	runnerFleet := fleet.New("z", time.Now, noRules{})
	runnerFleet.Replace([]backend.Runner{{ID: "r", Service: "s", Zone: "z", Region: "south", Draining: true}}, false)
	j := &job{dispatcher: &Dispatcher{Fleet: runnerFleet}, query: fleet.Query{Service: "s"}}
	assert.Assert(t, j.checkHomes() == nil)
	j.query.Homes = place.NewHomes([]place.Region{"south"})
	assert.Assert(t, j.checkHomes() == nil)
	j.query.Homes = place.NewHomes([]place.Region{"north"})
	problem := j.checkHomes()
	assert.Equal(t, problem.Code, fault.CodeOutsideHomes)
	assert.Equal(t, problem.Ran, fault.NotDone)
	assert.Equal(t, problem.RetryAfter, unlistedRetryAfter)
	assert.Equal(t, fault.Status(problem.Code), http.StatusServiceUnavailable)
	assert.ErrorContains(t, problem, "north")
}

// TestWaitEndsWhenHomesEmpty checks that a request that waits for its model is refused as soon as
// the last runner in its homes is unlisted, even if a runner in another region holds the model.
func TestWaitEndsWhenHomesEmpty(t *testing.T) {
	runnerFleet := fleet.New("z", time.Now, noRules{})
	holding := []backend.Holding{{Model: "m"}}
	runnerFleet.Replace([]backend.Runner{{ID: "home", Service: "s", Region: "north"}, {ID: "away", Service: "s", Region: "south", Models: holding}}, false)
	tracker := demand.NewTracker()
	j := &job{
		dispatcher: &Dispatcher{Fleet: runnerFleet, Demand: tracker, Configuration: func() *config.Configuration { return &config.Configuration{} }},
		request:    &Request{Arrived: time.Now(), StartWithin: time.Minute}, route: &config.Route{}, log: logr.Discard(), engine: true,
		query: fleet.Query{Service: "s", Unit: backend.Unit{Model: "m"}, Homes: place.NewHomes([]place.Region{"north"})},
	}
	ended := make(chan error, 1)
	go func() {
		_, err := j.selectRunner(t.Context())
		ended <- err
	}()
	for !tracker.Waits("s") {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, tracker.Waiting()[0].Homes.String(), "north")
	runnerFleet.Apply(nil, []string{"home"}, false)
	err := <-ended
	assert.Assert(t, fault.IsCode(err, fault.CodeOutsideHomes), "%v", err)
	assert.Assert(t, !tracker.Waits("s"))
}
