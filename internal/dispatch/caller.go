package dispatch

import (
	"net/http"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
)

// routeRanks is how many priorities of routes are told apart below one of tenants: with
// three, those of the first three tenants' priorities fit the ten urgencies of engines.
const routeRanks = 3

// identify finds whose request it is. A route that is not public needs a key that a
// tenant holds.
func (j *job) identify(configuration *config.Configuration) *fault.Error {
	if configuration.Tenants == nil {
		return nil
	}
	j.closed = true
	holder, known := configuration.Tenants.Resolve(j.request.Key)
	if known {
		j.tenant = holder
		j.outcome.Tenant = holder.Name
		return nil
	}
	if j.route.Public {
		return nil
	}
	if j.request.Key == "" {
		return fault.New(fault.CodeUnauthorized, "identify caller", "the request carries no key that can be read")
	}
	return fault.New(fault.CodeUnauthorized, "identify caller", "no tenant holds the request's key")
}

// priority is the request's rank, 0 first: its tenant's priority goes before its
// route's.
func (j *job) priority() int {
	route := max(j.route.Priority, 0)
	if j.tenant == nil {
		return route
	}
	return j.tenant.Priority*routeRanks + min(route, routeRanks-1)
}

// tellTenant replaces the caller's key by the name of its tenant.
func (j *job) tellTenant(header http.Header) {
	if !j.closed {
		return
	}
	header.Del(j.dispatcher.Names.Key)
	if j.tenant != nil {
		header.Set(j.dispatcher.Names.Tenant, string(j.tenant.Name))
	}
}
