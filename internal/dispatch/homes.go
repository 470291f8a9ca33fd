package dispatch

import (
	"time"

	"lilacvane/internal/fault"
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
