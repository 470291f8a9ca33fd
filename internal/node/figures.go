package node

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

// figures are the counters and latency histograms of a node.
type figures struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	// outsideHomes counts refusals as no runner was listed in the homes.
	outsideHomes *prometheus.CounterVec
	attempts     prometheus.Counter
	// failed counts attempts that failed, by who ended them; ended the requests whose
	// answer did not come to its end, by who ended the last attempt.
	failed *prometheus.CounterVec
	ended  *prometheus.CounterVec
	// crashes counts runners that ended under requests of this node.
	crashes prometheus.Counter
	// statements counts what runners stated of themselves.
	statements *prometheus.CounterVec
	// regionBytes are exchanged with other regions.
	regionBytes *prometheus.CounterVec
	resumes     prometheus.Counter
	first       *prometheus.HistogramVec
	waited      prometheus.Histogram
	loadTime    prometheus.Histogram
	tenants     *tenantFigures
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16}

// errorBuckets are parts of what was expected.
var errorBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2}

func newFigures(n *Node) *figures {
	f := &figures{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_requests_total", Help: "Requests by route and result.",
		}, []string{"route", "result"}),
		outsideHomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_outside_homes_total", Help: "Requests refused as no runner was listed in their homes, by route.",
		}, []string{"route"}),
		regionBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_region_bytes_total", Help: "Bytes exchanged with other regions, counted where the exchange began.",
		}, []string{"purpose", "direction"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacvane_attempts_total", Help: "Requests sent to runners."}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_attempts_failed_total", Help: "Requests sent to runners that failed, by who ended them.",
		}, []string{"by"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_answers_broken_total", Help: "Answers that had begun and did not come to their end, by who ended the last attempt.",
		}, []string{"by"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lilacvane_runners_crashed_total", Help: "Runners that ended under requests of this node.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacvane_resumes_total", Help: "Streams resumed at another runner."}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lilacvane_first_byte_seconds", Help: "Time to the first byte of the answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lilacvane_wait_seconds", Help: "Time in which no runner could take the request.", Buckets: latencyBuckets,
		}),
	}
	f.loadTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "lilacvane_load_time_error_ratio", Buckets: errorBuckets,
		Help: "How far loads from the weight store were from the time that was told, as a part of it.",
	})
	f.tenants = newTenantFigures(f.registry)
	f.refused = newRefused()
	f.statements = newStatementFigures()
	f.registry.MustRegister(newRunnerStates(n.runnersByState), f.refused, f.loadTime, f.requests, f.outsideHomes, f.regionBytes, f.attempts, f.failed, f.ended, f.crashes, f.statements, f.resumes, f.first, f.waited)
	f.registry.MustRegister(newLinkFigures(n.platform.Links))
	gauge := func(name, help string, value func() float64) {
		f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("lilacvane_requests_active", "Requests under way.", func() float64 { return float64(n.ingress.Active()) })
	gauge("lilacvane_runners", "Runners listed.", func() float64 { return float64(n.fleet.Count()) })
	gauge("lilacvane_runners_resting", "Runners that want nothing from this node for a while.", func() float64 { return float64(n.statements.CountResting()) })
	gauge("lilacvane_requests_quarantined", "Contents of requests that are not run as runners ended under them.", func() float64 { return float64(n.quarantine.CountRefused()) })
	gauge("lilacvane_zones_out", "Zones that operators took out.", func() float64 { return float64(n.zones.table.Load().CountOut()) })
	registerCold(f.registry, n.fleet.ColdFigures)
	gauge("lilacvane_log_lines_dropped", "Log lines dropped.", func() float64 { return float64(n.log.Dropped()) })
	gauge("lilacvane_configuration_revision", "Configuration in force.", func() float64 {
		if configuration := n.configuration.Load(); configuration != nil {
			return float64(configuration.Revision)
		}
		return 0
	})
	store := func(value func(wire.StoreStatus) float64) func() float64 {
		return func() float64 { return n.controls.sumStores(value) }
	}
	gauge("lilacvane_store_loads_limit", "Loads from the weight store that may be under way at once, at the holder.",
		store(func(s wire.StoreStatus) float64 { return float64(s.Limit) }))
	gauge("lilacvane_store_loads_capacity", "Loads that the weight store carries at full speed; zero while not known.",
		store(func(s wire.StoreStatus) float64 { return s.Capacity }))
	gauge("lilacvane_store_loads", "Loads from the weight store under way, at the holder.",
		store(func(s wire.StoreStatus) float64 { return float64(s.UnderWay) }))
	gauge("lilacvane_models_planned", "Models waited for that nothing loads yet, at the holder.",
		store(func(s wire.StoreStatus) float64 { return float64(s.Planned) }))
	gauge("lilacvane_leases_held", "Control leases held.", func() float64 {
		held := 0.0
		for _, s := range n.controls.all() {
			if s.lessor.Holds() {
				held++
			}
		}
		return held
	})
	return f
}

func (f *figures) handler() http.Handler {
	return promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{})
}

// observeLoad notes how far a load was from its expected time.
func (f *figures) observeLoad(took, expected time.Duration) {
	if expected > 0 {
		f.loadTime.Observe((took - expected).Abs().Seconds() / expected.Seconds())
	}
}

// countRegion counts bytes exchanged with another region.
func (f *figures) countRegion(purpose traffic.Purpose, direction traffic.Direction, bytes int) {
	f.regionBytes.WithLabelValues(string(purpose), string(direction)).Add(float64(bytes))
}

// observe counts a request that ended.
func (f *figures) observe(o dispatch.Outcome) {
	f.requests.WithLabelValues(o.Route, o.Result).Inc()
	if o.Problem != nil && o.Problem.Code == fault.CodeOutsideHomes {
		f.outsideHomes.WithLabelValues(o.Route).Inc()
	}
	f.tenants.observe(o)
	if o.Result == dispatch.ResultRefused {
		f.refused.WithLabelValues(refusalReason(o)).Inc()
	}
	f.attempts.Add(float64(o.Attempts))
	f.countEndings(o)
	f.resumes.Add(float64(o.Resumes))
	f.waited.Observe(o.Waited.Seconds())
	if o.First > 0 {
		f.first.WithLabelValues(o.Route).Observe(o.First.Seconds())
	}
}

// countEndings counts who ended a request's attempts.
func (f *figures) countEndings(o dispatch.Outcome) {
	for _, ending := range o.Endings {
		f.failed.WithLabelValues(string(ending)).Inc()
	}
	if o.Broken() && len(o.Endings) > 0 {
		f.ended.WithLabelValues(string(o.Endings[len(o.Endings)-1])).Inc()
	}
}

// registerCold adds the figures of cold runners and of permits for them.
func registerCold(registry *prometheus.Registry, figures func() fleet.ColdFigures) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lilacvane_runners_cold", Help: "Runners that are cold, as far as this node knows.",
	}, func() float64 { return float64(figures().Cold) }))
	counter := func(result string, value func(fleet.ColdFigures) uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacvane_cold_permits_total", ConstLabels: prometheus.Labels{"result": result},
			Help: "Permits for cold runners: lent to this node, spent by requests sent, refused as there was none.",
		}, func() float64 { return float64(value(figures())) }))
	}
	counter("lent", func(c fleet.ColdFigures) uint64 { return c.Lent })
	counter("spent", func(c fleet.ColdFigures) uint64 { return c.Spent })
	counter("refused", func(c fleet.ColdFigures) uint64 { return c.Refused })
}
