package dispatch

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/tenant"
	"lilacvane/internal/upstream"
)

func caller(t *testing.T, key string, public bool) (*job, *fault.Error) {
	t.Helper()
	directory, err := tenant.NewDirectory([]tenant.Tenant{
		{Name: "first", Priority: 0, Keys: []tenant.Digest{tenant.DigestOf("k1")}}, {Name: "second", Priority: 1, Keys: []tenant.Digest{tenant.DigestOf("k2")}},
	})
	assert.NilError(t, err)
	j := &job{
		dispatcher: &Dispatcher{Names: upstream.Names{Tenant: "X-Tenant", Key: "Authorization"}},
		request:    &Request{Key: key}, route: &config.Route{Public: public, Priority: 2},
	}
	return j, j.identify(&config.Configuration{Tenants: directory})
}

// TestKeyDecidesWhoCalls: a request needs a key that a tenant holds unless its route is
// public, and a runner is told the tenant, never the key.
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
		j.tellTenant(header)
		assert.Equal(t, header.Get("X-Tenant"), test.tenant)
		assert.Equal(t, header.Get("Authorization"), "")
	}
}

// TestOpenConfigurationKeepsHeaders: without tenants nobody needs a key, and a client's
// own headers pass.
func TestOpenConfigurationKeepsHeaders(t *testing.T) {
	j := &job{dispatcher: &Dispatcher{Names: upstream.Names{Key: "Authorization"}}, request: &Request{}, route: &config.Route{}}
	assert.Assert(t, j.identify(&config.Configuration{}) == nil)
	header := http.Header{"Authorization": {"Basic x"}}
	j.tellTenant(header)
	assert.Equal(t, header.Get("Authorization"), "Basic x")
}

// TestTenantsPriorityGoesFirst: a less urgent route of a more urgent tenant goes before
// a more urgent route of another.
func TestTenantsPriorityGoesFirst(t *testing.T) {
	first, _ := caller(t, "k1", false)
	second, _ := caller(t, "k2", false)
	first.route.Priority, second.route.Priority = 9, 0
	assert.Assert(t, first.priority() < second.priority())
}
