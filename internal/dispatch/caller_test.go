package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/body"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/poison"
	"lilacvane/internal/tenant"
	"lilacvane/internal/upstream"
)

// caller returns a job whose request has the given key, and the error of identify.
func caller(t *testing.T, key string, public bool) (*job, *fault.Error) {
	t.Helper()
	directory, err := tenant.NewDirectory([]tenant.Tenant{
		{Name: "first", Priority: 0, Keys: []tenant.Digest{tenant.DigestOf("k1")}}, {Name: "second", Priority: 1, Keys: []tenant.Digest{tenant.DigestOf("k2")}},
	})
	assert.NilError(t, err)
	j := &job{
		dispatcher: &Dispatcher{Headers: upstream.HeaderNames{Tenant: "X-Tenant", Key: "Authorization"}},
		request:    &Request{Key: key}, route: &config.Route{Public: public, Priority: 2},
	}
	return j, j.identify(&config.Configuration{Tenants: directory})
}

// TestKeyDecidesWhoCalls checks that a request needs the key of a tenant unless its route is
// public, and that a runner receives the tenant's name but never the key.
func TestKeyDecidesWhoCalls(t *testing.T) {
	for _, test := range []struct {
		key     string
		public  bool
		tenant  string
		refused bool
	}{
		{key: "k1", tenant: "first"},
		{key: "k2", public: true, tenant: "second"},
		{key: "gone", refused: true},
		{key: "", refused: true},
		{key: "gone", public: true},
		{key: "", public: true},
	} {
		j, problem := caller(t, test.key, test.public)
		assert.Equal(t, problem != nil, test.refused, "%+v", test)
		if problem != nil {
			assert.Equal(t, fault.Status(problem.Code), http.StatusUnauthorized)
			continue
		}
		header := http.Header{"Authorization": {"Token " + test.key}}
		j.setTenantHeader(header)
		assert.Equal(t, header.Get("X-Tenant"), test.tenant)
		assert.Equal(t, header.Get("Authorization"), "")
	}
}

// TestOpenConfigurationKeepsHeaders checks that without tenants no key is needed, and that a
// client's own headers are forwarded.
func TestOpenConfigurationKeepsHeaders(t *testing.T) {
	j := &job{dispatcher: &Dispatcher{Headers: upstream.HeaderNames{Key: "Authorization"}}, request: &Request{}, route: &config.Route{}}
	assert.Assert(t, j.identify(&config.Configuration{}) == nil)
	header := http.Header{"Authorization": {"Basic x"}}
	j.setTenantHeader(header)
	assert.Equal(t, header.Get("Authorization"), "Basic x")
}

// TestTenantsPriorityGoesFirst checks that a less urgent route of a more urgent tenant precedes a
// more urgent route of another tenant.
func TestTenantsPriorityGoesFirst(t *testing.T) {
	first, _ := caller(t, "k1", false)
	second, _ := caller(t, "k2", false)
	first.route.Priority, second.route.Priority = 9, 0
	assert.Assert(t, first.priority() < second.priority())
}

// limiter returns its admissions one after the other.
type limiter struct {
	admissions []Admission
	demand     float64
	cost       float64
}

func (l *limiter) RecordDemand(_ *tenant.Tenant, cost float64) { l.demand += cost }

func (l *limiter) Admit(_ context.Context, _ *tenant.Tenant, cost float64, _ int) Admission {
	l.cost = cost
	next := l.admissions[0]
	if len(l.admissions) > 1 {
		l.admissions = l.admissions[1:]
	}
	return next
}

func limitedJob(l *limiter, request *Request) *job {
	request.Arrived = time.Now()
	return &job{
		dispatcher: &Dispatcher{Limits: l}, request: request, route: &config.Route{Objective: time.Second},
		tenant: &tenant.Tenant{Name: "t", Limit: tenant.Limit{Unit: tenant.Tokens, Rate: 10, PlainCost: 3}},
	}
}

// TestLimitIsCharged checks that demand is recorded once per request, and that a request costs its
// tokens, or the plain cost if it has no counts.
func TestLimitIsCharged(t *testing.T) {
	l := &limiter{admissions: []Admission{{Verdict: LimitUnknown}, {Verdict: WithinLimit}}}
	assert.NilError(t, limitedJob(l, &Request{TokensIn: 5, TokensOut: 2, Counts: CountsGiven}).admit(t.Context()))
	assert.Equal(t, l.demand, 7.0)
	assert.Equal(t, l.cost, 7.0)
	assert.NilError(t, limitedJob(l, &Request{}).admit(t.Context()))
	assert.Equal(t, l.cost, 3.0)
}

// TestOnlyAdmittedRequestsAreCharged checks that the cost is recorded for each request, and as
// charged only for an admitted one.
func TestOnlyAdmittedRequestsAreCharged(t *testing.T) {
	for verdict, charged := range map[Verdict]bool{WithinLimit: true, OverLimit: false, TooLarge: false, LimitUnknown: false} {
		j := limitedJob(&limiter{admissions: []Admission{{Verdict: verdict, RetryAfter: time.Hour}}}, &Request{})
		_ = j.admit(t.Context())
		assert.Equal(t, j.outcome.Cost, 3.0, "%d", verdict)
		assert.Equal(t, j.outcome.Charged, charged, "%d", verdict)
	}
}

// TestOverLimitIsRefused checks that a request over the limit is refused at once with a retry time,
// except where a short wait costs the client less than a refusal.
func TestOverLimitIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		admissions []Admission
		code       fault.Code
		retry      time.Duration
	}{
		"over for long":     {[]Admission{{Verdict: OverLimit, RetryAfter: 2 * time.Second}}, fault.CodeOverLimit, 2 * time.Second},
		"over for a moment": {[]Admission{{Verdict: OverLimit, RetryAfter: 20 * time.Millisecond}, {Verdict: WithinLimit}}, "", 0},
		"larger than ever":  {[]Admission{{Verdict: TooLarge}}, fault.CodeOverLimit, tooLargeRetryAfter},
		"nobody to ask":     {[]Admission{{Verdict: LimitUnknown}}, fault.CodeNotReady, defaultRetryAfter},
	} {
		err := limitedJob(&limiter{admissions: test.admissions}, &Request{}).admit(t.Context())
		if test.code == "" {
			assert.NilError(t, err, name)
			continue
		}
		problem := fault.From(err, "test")
		assert.Equal(t, problem.Code, test.code, name)
		assert.Equal(t, problem.RetryAfter, test.retry, name)
		assert.Equal(t, problem.Ran, fault.NotDone, name)
	}
}

// TestUnreadableCountsAreRefused checks that a tenant whose limit counts tokens cannot send counts
// that cannot be parsed.
func TestUnreadableCountsAreRefused(t *testing.T) {
	err := limitedJob(&limiter{}, &Request{Counts: CountsUnreadable}).admit(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeInvalid))
}

// TestLeavingClientEndsWaitForLimit checks that the wait for a limit ends when the client leaves.
func TestLeavingClientEndsWaitForLimit(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := limitedJob(&limiter{admissions: []Admission{{Verdict: LimitUnknown}}}, &Request{}).admit(ctx)
	assert.Assert(t, fault.IsCode(err, fault.CodeCanceled))
}

// TestContentIdentityDependsOnCaller checks that no caller can send a request that counts as
// another caller's, and that a tenant's request keeps its identity when the tenant uses another
// key.
func TestContentIdentityDependsOnCaller(t *testing.T) {
	content := func(key string) poison.Identity {
		j, _ := caller(t, key, true)
		j.request.Target, j.request.Path = "/p?try=1", "/p"
		j.request.Body = body.New([]byte("b"))
		return j.contentIdentity()
	}
	first, second := content("k1"), content("k2")
	assert.Assert(t, first != second)
	assert.Assert(t, content("first") != first, "a key may be a tenant's name")
	assert.Assert(t, content("") != first)
	assert.Equal(t, content("k1"), first)
}
