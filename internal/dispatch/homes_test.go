package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// TestHomesOfRouteAndTenantBothBind: a request may be served where both allow it.
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

// TestHomesWithoutRunnerAreRefused: a request that no listed runner may ever take is
// refused as not run, with its reason and a time; one that a runner may take waits.
func TestHomesWithoutRunnerAreRefused(t *testing.T) {
	known := fleet.New("z", time.Now, noRules{})
	known.Replace([]backend.Runner{{ID: "r", Service: "s", Zone: "z", Region: "south", Draining: true}}, false)
	j := &job{dispatcher: &Dispatcher{Fleet: known}, query: fleet.Query{Service: "s"}}
	assert.Assert(t, j.checkHomes() == nil)
	j.query.Homes = place.NewHomes([]place.Region{"south"})
	assert.Assert(t, j.checkHomes() == nil)
	j.query.Homes = place.NewHomes([]place.Region{"north"})
	problem := j.checkHomes()
	assert.Equal(t, problem.Code, fault.CodeOutsideHomes)
	assert.Equal(t, problem.Ran, fault.NotDone)
	assert.Equal(t, problem.RetryAfter, homesReturn)
	assert.Equal(t, fault.Status(problem.Code), http.StatusServiceUnavailable)
	assert.ErrorContains(t, problem, "north")
}
