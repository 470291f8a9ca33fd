package metrics

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/tenant"
)

// Tenants beyond the first maxNamedTenants share a counter.
func TestTenantMetricsStayBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newTenantMetrics(registry)
	for i := range 1000 {
		m.observe(dispatch.Outcome{Tenant: tenant.Name(fmt.Sprintf("t%d", i)), Result: dispatch.ResultServed, Status: http.StatusOK, Cost: 2, Charged: true})
	}
	m.observe(dispatch.Outcome{Result: dispatch.ResultServed})
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		assert.Equal(t, len(family.Metric), maxNamedTenants+1)
	}
}

// A request that was not admitted adds nothing to its tenant's cost, whatever its response.
func TestOnlyChargedCostIsCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newTenantMetrics(registry)
	m.observe(dispatch.Outcome{Tenant: "club", Result: dispatch.ResultServed, Status: http.StatusOK, Cost: 2, Charged: true})
	m.observe(dispatch.Outcome{Tenant: "club", Result: dispatch.ResultRefused, Status: http.StatusServiceUnavailable, Cost: 5})
	m.observe(dispatch.Outcome{Tenant: "club", Result: dispatch.ResultRefused, Status: http.StatusTooManyRequests, Cost: 7})
	families, err := registry.Gather()
	assert.NilError(t, err)
	counted := -1.0
	for _, family := range families {
		if family.GetName() == "lilacvane_tenant_cost_total" {
			counted = family.Metric[0].Counter.GetValue()
		}
	}
	assert.Equal(t, counted, 2.0)
}
