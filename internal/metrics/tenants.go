package metrics

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/tenant"
)

const (
	// maxNamedTenants is the number of tenants with counters of their own. The others share one, so
	// that the metrics stay small however many tenants there are.
	maxNamedTenants = 64
	otherTenants    = "(others)"
)

// tenantMetrics counts requests and their cost by tenant.
type tenantMetrics struct {
	requests *prometheus.CounterVec
	cost     *prometheus.CounterVec

	mutex sync.Mutex
	named map[tenant.Name]bool
}

func newTenantMetrics(registry *prometheus.Registry) *tenantMetrics {
	m := &tenantMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_tenant_requests_total", Help: "Requests by tenant and result; limited: over the tenant's limit.",
		}, []string{"tenant", "result"}),
		cost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_tenant_cost_total", Help: "What admitted requests were charged to their tenant's limit, in its unit.",
		}, []string{"tenant"}),
		named: make(map[tenant.Name]bool),
	}
	registry.MustRegister(m.requests, m.cost)
	return m
}

// resultLimited is the result of a request over its tenant's limit.
const resultLimited = "limited"

func (m *tenantMetrics) observe(o dispatch.Outcome) {
	if o.Tenant == "" {
		return
	}
	label := m.label(o.Tenant)
	if o.Status == http.StatusTooManyRequests && o.Result == dispatch.ResultRefused {
		m.requests.WithLabelValues(label, resultLimited).Inc()
		return
	}
	m.requests.WithLabelValues(label, o.Result).Inc()
	if o.Charged {
		m.cost.WithLabelValues(label).Add(o.Cost)
	}
}

// label returns the tenant's name, or a shared label once maxNamedTenants have their own.
func (m *tenantMetrics) label(name tenant.Name) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.named[name] && len(m.named) < maxNamedTenants {
		m.named[name] = true
	}
	if m.named[name] {
		return string(name)
	}
	return otherTenants
}
