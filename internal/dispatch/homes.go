package dispatch

import (
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
)

// listedAgain is when a request may come back for which no runner is listed, or only such as
// leave: nobody knows when another one is listed, and a runner that is started takes seconds.
const listedAgain = 2 * time.Second

// homes are the regions in which alone the request may be served: those of its route and
// those of its tenant both bind.
func (j *job) homes() place.Homes {
	homes := j.route.Homes
	if j.tenant != nil {
		homes = homes.And(j.tenant.Homes)
	}
	j.outcome.Homes = homes
	return homes
}

// checkHomes says why no runner can ever take the request, if none is listed in its
// homes. It waits for nothing then: where it may be served, nobody is expected.
func (j *job) checkHomes() *fault.Error {
	homes := j.query.Homes
	if !homes.Bound() || j.dispatcher.Fleet.Serves(j.query.Service, homes) {
		return nil
	}
	return fault.New(fault.CodeOutsideHomes, "check homes", "no runner of service %s is listed in the homes of the request: %s", j.query.Service, homes).
		WithRetryAfter(listedAgain)
}
