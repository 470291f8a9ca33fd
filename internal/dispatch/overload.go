package dispatch

import (
	"net/http"

	"lilacvane/internal/fault"
	"lilacvane/internal/overload"
)

// RefuseUnread refuses a request that was not read whole, for an error with a retry time. It is counted and explained
// like others, but not logged: many may be refused at once.
func (d *Dispatcher) RefuseUnread(w http.ResponseWriter, request *Request, problem *fault.Error) Outcome {
	j := d.newJob(w, request)
	if configuration := d.Configuration(); configuration != nil {
		if route := configuration.Match(request.Host, request.Path); route != nil {
			j.outcome.Route = route.Name
		}
	}
	j.refuse(problem)
	j.record()
	return j.outcome
}

// RefuseOverloaded refuses a request that this node has no room for. The more urgent ones are told to
// come back earlier. load is that of this node.
func (d *Dispatcher) RefuseOverloaded(w http.ResponseWriter, request *Request, load overload.Load) Outcome {
	j := d.newJob(w, request)
	priority := 0
	if configuration := d.Configuration(); configuration != nil {
		// No service is picked, as the request counts for none.
		if route := configuration.Match(request.Host, request.Path); route != nil {
			j.outcome.Route, priority = route.Name, max(route.Priority, 0)
		}
	}
	j.refuse(fault.New(fault.CodeOverloaded, StepAccept, "this node has no room for more requests").WithRetryAfter(load.RetryAfter(priority)))
	return j.finish()
}
