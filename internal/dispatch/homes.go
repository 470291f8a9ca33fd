package dispatch

import (
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
)

// unlistedRetryAfter is the retry time of a request for which no runner is listed, or only runners
// that leave: it is unknown when another one is listed, and starting a runner takes seconds.
const unlistedRetryAfter = 2 * time.Second

// homes returns the only regions in which the request may be served, and records them in its
// outcome: both those of its route and those of its tenant apply.
func (j *job) homes() place.Homes {
	homes := j.route.Homes
	if j.tenant != nil {
		homes = homes.Intersect(j.tenant.Homes)
	}
	j.outcome.Homes = homes
	return homes
}

// checkHomes returns an error if no runner is listed in the request's homes. The request does not
// wait then, as no runner is expected where it may be served.
func (j *job) checkHomes() *fault.Error {
	homes := j.query.Homes
	if !homes.Restricted() || j.dispatcher.Fleet.Serves(j.query.Service, homes) {
		return nil
	}
	return fault.New(fault.CodeOutsideHomes, "check homes", "no runner of service %s is listed in the homes of the request: %s", j.query.Service, homes).
		WithRetryAfter(unlistedRetryAfter)
}

// noPathInHomes reports whether an attempt ended because the runner is reached only through nodes outside
// the request's homes, and excludes the runner then. Nothing is wrong with it: requests without homes
// are served there.
func (j *job) noPathInHomes(choice fleet.Choice, err error) bool {
	if !fault.IsCode(err, fault.CodeNoPathInHomes) {
		return false
	}
	j.query.Exclude = append(j.query.Exclude, choice.Runner.ID)
	j.pathsOutside = true
	return true
}

// checkPathsInHomes returns an error if a runner is reached only through nodes outside the request's homes,
// and no other one is left. The request does not wait then: another node may reach the runner.
func (j *job) checkPathsInHomes() *fault.Error {
	if !j.pathsOutside || j.dispatcher.Fleet.HasOther(j.query) {
		return nil
	}
	return fault.New(fault.CodeNoPathInHomes, "check homes", "runners of service %s in the homes of the request are reached only through nodes outside them: %s", j.query.Service, j.query.Homes).
		WithRetryAfter(defaultRetryAfter)
}
