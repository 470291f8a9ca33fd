package metrics

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/tenant"
)

const (
	// namedTenants is how many tenants have counters of their own; the others share one, so
	// that metrics stay small however many tenants there are.
	namedTenants = 64
	otherTenants = "(others)"
)

// tenantFigures counts requests and what they cost by tenant.
type tenantFigures struct {
	requests *prometheus.CounterVec
	cost     *prometheus.CounterVec

	mutex sync.Mutex
	named map[tenant.Name]bool
}

func newTenantFigures(registry *prometheus.Registry) *tenantFigures {
	f := &tenantFigures{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_tenant_requests_total", Help: "Requests by tenant and result; limited: over the tenant's limit.",
		}, []string{"tenant", "result"}),
		cost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_tenant_cost_total", Help: "What admitted requests were charged to their tenant's limit, in its unit.",
		}, []string{"tenant"}),
		named: make(map[tenant.Name]bool),
	}
	registry.MustRegister(f.requests, f.cost)
	return f
}

// resultLimited is the result of a request over its tenant's limit.
const resultLimited = "limited"

func (f *tenantFigures) observe(o dispatch.Outcome) {
	if o.Tenant == "" {
		return
	}
	label := f.label(o.Tenant)
	if o.Status == http.StatusTooManyRequests && o.Result == dispatch.ResultRefused {
		f.requests.WithLabelValues(label, resultLimited).Inc()
		return
	}
	f.requests.WithLabelValues(label, o.Result).Inc()
	if o.Charged {
		f.cost.WithLabelValues(label).Add(o.Cost)
	}
}

// label is the tenant's name, or one for all beyond the first ones.
func (f *tenantFigures) label(name tenant.Name) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.named[name] && len(f.named) < namedTenants {
		f.named[name] = true
	}
	if f.named[name] {
		return string(name)
	}
	return otherTenants
}
