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
	// WithinLimit means that the request may run; its cost was charged.
	WithinLimit Verdict = iota
	// OverLimit means that the limit is used up now.
	OverLimit
	// TooLarge means that the request costs more than the limit ever allows at once.
	TooLarge
	// LimitUnknown means that no node that can decide is reachable now.
	LimitUnknown
)

// Admission is the decision on a request.
type Admission struct {
	Verdict Verdict
	// RetryAfter is the time after which a request that is OverLimit may be sent again.
	RetryAfter time.Duration
	// By is the node whose share of the limit decided, or its address.
	By string
}

// Limiter decides whether requests of tenants are within their limits.
type Limiter interface {
	// RecordDemand records, once per request, that a request of the given cost arrived.
	RecordDemand(t *tenant.Tenant, cost float64)
	// Admit decides on the request now; it may be called again. rank is its rank among the requests
	// of its tenant, 0 the most urgent.
	Admit(ctx context.Context, t *tenant.Tenant, cost float64, rank int) Admission
}

// routeRanks is how many priorities of routes are distinguished within one priority of tenants:
// with three, the requests of the first three tenant priorities fit the ten urgencies of engines.
const routeRanks = 3

// identify finds the tenant of the request. A route that is not public needs the key of a tenant.
func (j *job) identify(configuration *config.Configuration) *fault.Error {
	if configuration.Tenants == nil {
		return nil
	}
	j.keysRequired = true
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
	return j.notConfigured(fault.New(fault.CodeUnauthorized, "identify caller", "no tenant holds the request's key"))
}

const (
	stepLimit = "check limit"
	// minOverLimitRetryAfter is the shortest retry time of a request over its tenant's limit, so
	// that many short waits do not become a retry storm.
	minOverLimitRetryAfter = 200 * time.Millisecond
	// tooLargeRetryAfter is the retry time of a request that is larger than its tenant's limit: the
	// limit may have been changed by then.
	tooLargeRetryAfter = 10 * time.Second
	// limitPollInterval is how long a request waits until it looks again for a node that decides on
	// its tenant's limit: a node learns of a new holder and of lenders within a few of these.
	limitPollInterval = 50 * time.Millisecond
)

// admit charges the request to its tenant's limit, or returns why it cannot. One run is charged:
// sending the request again or resuming its stream costs no more.
func (j *job) admit(ctx context.Context) error {
	if j.tenant == nil || j.dispatcher.Limits == nil {
		return nil
	}
	limit := j.tenant.Limit
	if limit.Limited() && limit.Unit == tenant.Tokens && j.request.Counts == CountsUnreadable {
		return fault.New(fault.CodeInvalid, stepLimit, "header %s: not two counts of tokens", j.dispatcher.Headers.Tokens)
	}
	cost := limit.Cost(j.request.TokensIn+j.request.TokensOut, j.request.Counts == CountsGiven)
	j.outcome.Cost = cost
	j.dispatcher.Limits.RecordDemand(j.tenant, cost)
	for {
		admission := j.dispatcher.Limits.Admit(ctx, j.tenant, cost, j.route.Priority)
		j.outcome.AdmittedBy = admission.By
		if admission.Verdict == WithinLimit {
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

// limitWaitShare is the part of a request's objective in which it may wait for its tenant's limit:
// what is left is enough for a runner to begin its answer in time.
const limitWaitShare = 0.5

// limitPatience returns how long the request may still wait for its tenant's limit.
func (j *job) limitPatience() time.Duration {
	return time.Duration(limitWaitShare*float64(j.route.Objective)) - time.Since(j.request.Arrived)
}

// waits reports whether holding the request for a moment is better than refusing it, and after how
// long to ask again.
func (a Admission) waits(patience time.Duration) (again time.Duration, ok bool) {
	switch a.Verdict {
	case OverLimit:
		return max(a.RetryAfter, time.Millisecond), a.RetryAfter <= patience
	case LimitUnknown:
		return limitPollInterval, limitPollInterval <= patience
	default:
		return 0, false
	}
}

// overLimit returns the error of a request that is not within its tenant's limit.
func (j *job) overLimit(admission Admission, cost float64) *fault.Error {
	limit := j.tenant.Limit
	switch admission.Verdict {
	case OverLimit:
		return fault.New(fault.CodeOverLimit, stepLimit, "tenant %s is over %g %s a second", j.tenant.Name, limit.Rate, limit.Unit).
			WithRetryAfter(max(admission.RetryAfter, minOverLimitRetryAfter))
	case TooLarge:
		return fault.New(fault.CodeOverLimit, stepLimit, "the request costs %g %s, more than the limit of tenant %s holds", cost, limit.Unit, j.tenant.Name).
			WithRetryAfter(tooLargeRetryAfter)
	default:
		return fault.New(fault.CodeNotReady, stepLimit, "nobody can be asked for the limit of tenant %s", j.tenant.Name).WithRetryAfter(defaultRetryAfter)
	}
}

// priority returns the rank of the request, 0 first: the priority of its tenant takes precedence
// over that of its route.
func (j *job) priority() int {
	route := max(j.route.Priority, 0)
	if j.tenant == nil {
		return route
	}
	return j.tenant.Priority*routeRanks + min(route, routeRanks-1)
}

// setTenantHeader replaces the caller's key by the name of its tenant.
func (j *job) setTenantHeader(header http.Header) {
	if !j.keysRequired {
		return
	}
	header.Del(j.dispatcher.Headers.Key)
	if j.tenant != nil {
		header.Set(j.dispatcher.Headers.Tenant, string(j.tenant.Name))
	}
}
