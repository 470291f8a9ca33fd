package dispatch

import (
	"context"
	"net/http"
	"time"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/tenant"
)

// Verdict says whether a request is within its tenant's limit.
type Verdict uint8

// The verdicts.
const (
	// Within means that it may run; its cost was spent.
	Within Verdict = iota
	// Over means that the limit is used up now.
	Over
	// TooLarge means that the request costs more than the limit ever lets through at once.
	TooLarge
	// NotKnown means that nobody can be asked now.
	NotKnown
)

// Admission is the decision on a request.
type Admission struct {
	Verdict Verdict
	// In is when a request that is Over may come back.
	In time.Duration
	// By is the node whose share decided, or its address.
	By string
}

// Limiter decides on requests of tenants.
type Limiter interface {
	// Ask notes that a request of the cost was asked for, once a request.
	Ask(t *tenant.Tenant, cost float64)
	// Admit decides on it now; it may be asked again. rank is its place among the requests
	// of its tenant, 0 the most urgent.
	Admit(ctx context.Context, t *tenant.Tenant, cost float64, rank int) Admission
}

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
	return j.missing(fault.New(fault.CodeUnauthorized, "identify caller", "no tenant holds the request's key"))
}

const (
	stepLimit = "check limit"
	// leastOverReturn is the shortest time after which a request over its tenant's limit
	// may come back, so that many small waits do not become a storm.
	leastOverReturn = 200 * time.Millisecond
	// tooLargeReturn is when a request that is larger than its tenant's limit may come
	// back: the limit may have been changed by then.
	tooLargeReturn = 10 * time.Second
	// limitPause is how long a request waits until it looks again for somebody to ask: a
	// node hears of a new holder and of lenders within some of these.
	limitPause = 50 * time.Millisecond
)

// admit charges the request to its tenant's limit, or says why it cannot. What a request
// is charged for is a run: sending it again or going on with its stream costs no more.
func (j *job) admit(ctx context.Context) error {
	if j.tenant == nil || j.dispatcher.Limits == nil {
		return nil
	}
	limit := j.tenant.Limit
	if limit.Limited() && limit.Unit == tenant.Tokens && j.request.Counts == CountsUnreadable {
		return fault.New(fault.CodeInvalid, stepLimit, "header %s: not two counts of tokens", j.dispatcher.Names.Tokens)
	}
	cost := limit.Cost(j.request.TokensIn+j.request.TokensOut, j.request.Counts == CountsGiven)
	j.outcome.Cost = cost
	j.dispatcher.Limits.Ask(j.tenant, cost)
	for {
		admission := j.dispatcher.Limits.Admit(ctx, j.tenant, cost, j.route.Priority)
		j.outcome.AdmittedBy = admission.By
		if admission.Verdict == Within {
			j.outcome.Charged = true
			return nil
		}
		again, ok := admission.waits(j.limitPatience())
		if !ok {
			return j.overLimit(admission, cost)
		}
		select {
		case <-ctx.Done():
			return fault.At(fault.CodeCanceled, stepLimit, fault.Self, fault.NotDone, context.Cause(ctx))
		case <-time.After(again):
		}
	}
}

// limitWait is the part of a request's objective in which it may wait for its tenant's
// limit: what is left is enough for a runner to begin its answer in time.
const limitWait = 0.5

// limitPatience is how long the request may still wait for its tenant's limit.
func (j *job) limitPatience() time.Duration {
	return time.Duration(limitWait*float64(j.route.Objective)) - time.Since(j.request.Arrived)
}

// waits reports whether a request is better held for a moment than sent back, and for how
// long.
func (a Admission) waits(patience time.Duration) (again time.Duration, ok bool) {
	switch a.Verdict {
	case Over:
		return max(a.In, time.Millisecond), a.In <= patience
	case NotKnown:
		return limitPause, limitPause <= patience
	default:
		return 0, false
	}
}

// overLimit says why a request is not within its tenant's limit.
func (j *job) overLimit(admission Admission, cost float64) *fault.Error {
	limit := j.tenant.Limit
	switch admission.Verdict {
	case Over:
		return fault.New(fault.CodeOverLimit, stepLimit, "tenant %s is over %g %s a second", j.tenant.Name, limit.Rate, limit.Unit).
			WithRetryAfter(max(admission.In, leastOverReturn))
	case TooLarge:
		return fault.New(fault.CodeOverLimit, stepLimit, "the request costs %g %s, more than the limit of tenant %s holds", cost, limit.Unit, j.tenant.Name).
			WithRetryAfter(tooLargeReturn)
	default:
		return fault.New(fault.CodeNotReady, stepLimit, "nobody can be asked for the limit of tenant %s", j.tenant.Name).WithRetryAfter(defaultReturn)
	}
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
