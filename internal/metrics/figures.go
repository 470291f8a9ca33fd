// Package metrics counts what a node does, and tells it in the text format of Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/link"
	"lilacvane/internal/statement"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

// Sources are asked whenever figures are read.
type Sources struct {
	// Active is how many requests are under way.
	Active func() int64
	// Runners is how many of the platform's list the node keeps, RunnersByState the same by
	// state; Partial reports whether it passed others over.
	Runners        func() int
	RunnersByState func() map[string]int
	Partial        func() bool
	// ListAge is how long ago the list was heard of; not known as long as it was not read.
	ListAge func() (age time.Duration, known bool)
	// ConfigurationAge is the same of the configuration.
	ConfigurationAge func() (age time.Duration, known bool)
	// Resting is how many runners want nothing from the node for a while.
	Resting func() int
	// Quarantined is how many contents of requests are not run.
	Quarantined func() int
	// ZonesOut is how many zones operators took out.
	ZonesOut func() int
	// Cold are the figures of cold runners.
	Cold func() fleet.ColdFigures
	// LogDropped is how many log lines were dropped.
	LogDropped func() int64
	// Revision is that of the configuration in force; zero for none.
	Revision func() uint64
	// Store sums a figure of the weight stores of the services that the node controls.
	Store func(value func(wire.StoreStatus) float64) float64
	// LeasesHeld is how many control leases the node holds.
	LeasesHeld func() int
	// Links counts connections.
	Links *link.Record
}

// Figures are the counters and latency histograms of a node. Its methods may be called
// concurrently.
type Figures struct {
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

// New returns figures at zero.
func New(sources Sources) *Figures {
	f := &Figures{
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
	f.registry.MustRegister(newRunnerStates(sources.RunnersByState), f.refused, f.loadTime, f.requests, f.outsideHomes, f.regionBytes, f.attempts, f.failed, f.ended, f.crashes, f.statements, f.resumes, f.first, f.waited)
	f.registry.MustRegister(newLinkFigures(sources.Links))
	gauge := func(name, help string, value func() float64) {
		f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	count := func(name, help string, value func() int) {
		gauge(name, help, func() float64 { return float64(value()) })
	}
	gauge("lilacvane_requests_active", "Requests under way.", func() float64 { return float64(sources.Active()) })
	count("lilacvane_runners", "Runners of the platform's list that this node keeps.", sources.Runners)
	gauge("lilacvane_runners_partial", "1 when this node passed over other runners of the list.", func() float64 { return boolValue(sources.Partial()) })
	age := func(name, what string, value func() (time.Duration, bool)) {
		gauge(name, "How long ago "+what+" was heard of; -1 when it was not read.", func() float64 { return ageValue(value()) })
	}
	age("lilacvane_list_age_seconds", "the list of runners", sources.ListAge)
	age("lilacvane_configuration_age_seconds", "the configuration", sources.ConfigurationAge)
	count("lilacvane_runners_resting", "Runners that want nothing from this node for a while.", sources.Resting)
	count("lilacvane_requests_quarantined", "Contents of requests that are not run as runners ended under them.", sources.Quarantined)
	count("lilacvane_zones_out", "Zones that operators took out.", sources.ZonesOut)
	registerCold(f.registry, sources.Cold)
	gauge("lilacvane_log_lines_dropped", "Log lines dropped.", func() float64 { return float64(sources.LogDropped()) })
	gauge("lilacvane_configuration_revision", "Configuration in force.", func() float64 { return float64(sources.Revision()) })
	store := func(value func(wire.StoreStatus) float64) func() float64 {
		return func() float64 { return sources.Store(value) }
	}
	gauge("lilacvane_store_loads_limit", "Loads from the weight store that may be under way at once, at the holder.",
		store(func(s wire.StoreStatus) float64 { return float64(s.Limit) }))
	gauge("lilacvane_store_loads_capacity", "Loads that the weight store carries at full speed; zero while not known.",
		store(func(s wire.StoreStatus) float64 { return s.Capacity }))
	gauge("lilacvane_store_loads", "Loads from the weight store under way, at the holder.",
		store(func(s wire.StoreStatus) float64 { return float64(s.UnderWay) }))
	gauge("lilacvane_models_planned", "Models waited for that nothing loads yet, at the holder.",
		store(func(s wire.StoreStatus) float64 { return float64(s.Planned) }))
	count("lilacvane_leases_held", "Control leases held.", sources.LeasesHeld)
	return f
}

// ageValue is an age in seconds; -1 when it is not known.
func ageValue(age time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return age.Seconds()
}

// boolValue is 1 for true.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Handler tells all figures.
func (f *Figures) Handler() http.Handler {
	return promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{})
}

// ObserveLoad notes how far a load was from its expected time.
func (f *Figures) ObserveLoad(took, expected time.Duration) {
	if expected > 0 {
		f.loadTime.Observe((took - expected).Abs().Seconds() / expected.Seconds())
	}
}

// CountRegion counts bytes exchanged with another region.
func (f *Figures) CountRegion(purpose traffic.Purpose, direction traffic.Direction, bytes int) {
	f.regionBytes.WithLabelValues(string(purpose), string(direction)).Add(float64(bytes))
}

// Observe counts a request that ended.
func (f *Figures) Observe(o dispatch.Outcome) {
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

// CountCrash counts a runner that ended under a request of the node.
func (f *Figures) CountCrash() { f.crashes.Inc() }

// CountStatement counts what a runner stated of itself.
func (f *Figures) CountStatement(kind statement.Kind) {
	f.statements.WithLabelValues(string(kind)).Inc()
}

// countEndings counts who ended a request's attempts.
func (f *Figures) countEndings(o dispatch.Outcome) {
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

// newStatementFigures counts statements by kind.
func newStatementFigures() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_runner_statements_total", Help: "What runners stated of themselves in answers, by kind; doubtful is what could not be taken as it was said.",
	}, []string{"kind"})
}
