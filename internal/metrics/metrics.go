// Package metrics counts what a node does and exports it in the Prometheus text format.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/link"
	"lilacvane/internal/memory"
	"lilacvane/internal/overload"
	"lilacvane/internal/reach"
	"lilacvane/internal/statement"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

// Sources are functions that provide current values at each scrape.
type Sources struct {
	// Active is the number of active requests.
	Active func() int64
	// Load returns how late the node is with its own work.
	Load func() overload.Load
	// Runners is the number of runners of the platform's list that the node keeps, RunnersByState
	// their number by state. Partial reports whether the node skipped other runners of the list.
	Runners        func() int
	RunnersByState func() map[string]int
	Partial        func() bool
	// ListAge is the time since the list was last confirmed; unknown until it was read.
	ListAge func() (age time.Duration, known bool)
	// ConfigurationAge is the time since the configuration was last confirmed; unknown until it was
	// read.
	ConfigurationAge func() (age time.Duration, known bool)
	// Reach returns how many runners the node reaches.
	Reach func() reach.Figures
	// Carried is the number of connections to runners that the node carries for others.
	Carried func() int
	// Resting is the number of runners that asked the node to send nothing for a while.
	Resting func() int
	// Quarantined is the number of request contents that are not run because runners ended under
	// them.
	Quarantined func() int
	// ZonesOut is the number of zones evacuated by operators.
	ZonesOut func() int
	// Cold returns statistics of cold runners.
	Cold func() fleet.ColdFigures
	// LogDropped is the number of log lines dropped.
	LogDropped func() int64
	// Revision is the revision of the active configuration, or zero if there is none.
	Revision func() uint64
	// Store sums a value over the weight stores of the services that the node controls.
	Store func(value func(wire.StoreStatus) float64) float64
	// LeasesHeld is the number of control leases that the node holds.
	LeasesHeld func() int
	// StoreEpoch is the newest epoch of the store; zero if it names none.
	StoreEpoch func() uint64
	// Links counts connections.
	Links *link.Record
	// Memory returns the figures of the memory of requests, by whom they come from.
	Memory map[string]func() memory.Figures
}

// Metrics holds the counters and latency histograms of a node. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	// outsideHomes counts requests refused because no runner was listed in their home regions.
	outsideHomes *prometheus.CounterVec
	// denied counts requests that this node ended with a 4xx of its own that promises nothing.
	denied   *prometheus.CounterVec
	attempts prometheus.Counter
	// failed counts failed attempts by who ended them. broken counts requests whose answer started
	// but did not complete, by who ended the last attempt.
	failed *prometheus.CounterVec
	broken *prometheus.CounterVec
	// cut counts answers that the node's stop cut off, by the phase in which their requests were read.
	cut *prometheus.CounterVec
	// crashes counts runners that ended under requests of this node.
	crashes prometheus.Counter
	// undeliveredCrashReports counts reports of crashes that a node did not accept.
	undeliveredCrashReports prometheus.Counter
	// invalidReports counts reports of runners that are no reports, or whose numbers are out of range.
	invalidReports prometheus.Counter
	// statements counts what runners stated about themselves.
	statements *prometheus.CounterVec
	// regionBytes counts bytes exchanged with other regions.
	regionBytes *prometheus.CounterVec
	// unreadable counts rows of tables that could not be read, by table.
	unreadable    *prometheus.CounterVec
	resumes       prometheus.Counter
	firstByte     *prometheus.HistogramVec
	waitTime      prometheus.Histogram
	loadTimeError prometheus.Histogram
	newsAge       *prometheus.HistogramVec
	tenants       *tenantMetrics
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16}

// errorBuckets are fractions of the expected time.
var errorBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2}

// New returns metrics that are all zero.
func New(sources Sources) *Metrics {
	m := &Metrics{
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
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lilacvane_answers_broken_total", Help: "Answers that had begun and did not come to their end, by who ended the last attempt.",
		}, []string{"by"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lilacvane_runners_crashed_total", Help: "Runners that ended under requests of this node.",
		}),
		undeliveredCrashReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lilacvane_crash_reports_undelivered_total", Help: "Reports of runners that ended that another node did not accept.",
		}),
		invalidReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lilacvane_reports_invalid_total", Help: "Reports of runners that were passed over, as they are no reports or out of range.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacvane_resumes_total", Help: "Streams resumed at another runner."}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lilacvane_first_byte_seconds", Help: "Time to the first byte of the answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		waitTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lilacvane_wait_seconds", Help: "Time in which no runner could take the request.", Buckets: latencyBuckets,
		}),
	}
	m.loadTimeError = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "lilacvane_load_time_error_ratio", Buckets: errorBuckets,
		Help: "How far loads from the weight store were from the time that was told, as a part of it.",
	})
	m.newsAge = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "lilacvane_news_age_seconds", Help: "How old changes of the store's tables were at most when this node applied them.", Buckets: latencyBuckets,
	}, []string{"kind"})
	m.denied = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_requests_denied_total", Help: "Requests that this node ended as wrong, by code and status.",
	}, []string{"code", "status"})
	m.cut = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_answers_cut_by_stop_total", Help: "Answers that the stop of the node cut off, by the phase of the stop in which their requests were read.",
	}, []string{"read"})
	m.unreadable = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_rows_unreadable_total", Help: "Rows of tables that could not be read and were passed over, once for each change, by table.",
	}, []string{"table"})
	m.tenants = newTenantMetrics(m.registry)
	m.refused = newRefusalCounter()
	m.statements = newStatementCounter()
	m.registry.MustRegister(newRunnerCollector(sources.RunnersByState), m.refused, m.denied, m.loadTimeError, m.requests, m.outsideHomes, m.regionBytes, m.attempts, m.failed, m.broken, m.cut, m.crashes, m.undeliveredCrashReports, m.invalidReports, m.statements, m.unreadable, m.resumes, m.firstByte, m.waitTime, m.newsAge)
	m.registry.MustRegister(newLinkCollector(sources.Links))
	registerMemory(m.registry, sources.Memory)
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	count := func(name, help string, value func() int) {
		gauge(name, help, func() float64 { return float64(value()) })
	}
	gauge("lilacvane_requests_active", "Requests under way.", func() float64 { return float64(sources.Active()) })
	count("lilacvane_requests_starting", "Requests accepted and neither sent to a runner nor waiting for one.", func() int { return sources.Load().Starting })
	count("lilacvane_requests_starting_limit", "Requests that may start at once; zero for any number.", func() int { return sources.Load().Limit })
	gauge("lilacvane_clients_shut_seconds", "Time for which the listening socket for clients was closed as there was no room, since the start.", func() float64 { return sources.Load().Shut.Seconds() })
	gauge("lilacvane_read_delay_seconds", "How long bytes that arrived wait to be read while requests start, a median.", func() float64 { return sources.Load().ReadDelay.Seconds() })
	gauge("lilacvane_connect_delay_seconds", "How much longer than usual connection attempts to runners take, a median.", func() float64 { return sources.Load().ConnectDelay.Seconds() })
	count("lilacvane_runners", "Runners of the platform's list that this node keeps.", sources.Runners)
	gauge("lilacvane_runners_partial", "1 when this node passed over other runners of the list.", func() float64 { return boolValue(sources.Partial()) })
	age := func(name, what string, value func() (time.Duration, bool)) {
		gauge(name, "How long ago "+what+" was heard of; -1 when it was not read.", func() float64 { return ageValue(value()) })
	}
	age("lilacvane_list_age_seconds", "the list of runners", sources.ListAge)
	age("lilacvane_configuration_age_seconds", "the configuration", sources.ConfigurationAge)
	count("lilacvane_runners_reached", "Runners that this node connected to lately.", func() int { return sources.Reach().Reached })
	count("lilacvane_runners_unreached", "Runners that this node last failed to connect to.", func() int { return sources.Reach().Unreached })
	count("lilacvane_runners_through_peers", "Runners that this node reaches through peers only.", func() int { return sources.Reach().Broken })
	count("lilacvane_tunnels_carried", "Connections to runners that this node carries for others.", sources.Carried)
	count("lilacvane_runners_resting", "Runners that want nothing from this node for a while.", sources.Resting)
	count("lilacvane_requests_quarantined", "Contents of requests that are not run as runners ended under them.", sources.Quarantined)
	count("lilacvane_zones_out", "Zones that operators took out.", sources.ZonesOut)
	registerCold(m.registry, sources.Cold)
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
	gauge("lilacvane_store_epoch", "Newest epoch of the store; it rises when the store returns with an older copy.", func() float64 { return float64(sources.StoreEpoch()) })
	count("lilacvane_leases_held", "Control leases held.", sources.LeasesHeld)
	return m
}

// ageValue returns an age in seconds, or -1 if it is unknown.
func ageValue(age time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return age.Seconds()
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Handler serves all metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// News is a kind of change that nodes learn from the store's tables.
type News string

// The kinds of changes whose age is measured.
const (
	// NewsConfiguration is a configuration, NewsLeaving a runner that drains or is gone.
	NewsConfiguration News = "configuration"
	NewsLeaving       News = "leaving"
)

// ObserveNews records the maximum age of a change when this node applied it.
func (m *Metrics) ObserveNews(kind News, maxAge time.Duration) {
	m.newsAge.WithLabelValues(string(kind)).Observe(maxAge.Seconds())
}

// ObserveLoad records how far a load's duration was from the expected one.
func (m *Metrics) ObserveLoad(took, expected time.Duration) {
	if expected > 0 {
		m.loadTimeError.Observe((took - expected).Abs().Seconds() / expected.Seconds())
	}
}

// CountRegion counts bytes exchanged with another region.
func (m *Metrics) CountRegion(purpose traffic.Purpose, direction traffic.Direction, bytes int) {
	m.regionBytes.WithLabelValues(string(purpose), string(direction)).Add(float64(bytes))
}

// Observe counts a completed request.
func (m *Metrics) Observe(o dispatch.Outcome) {
	m.requests.WithLabelValues(o.Route, o.Result).Inc()
	if o.Problem != nil && o.Problem.Code == fault.CodeOutsideHomes {
		m.outsideHomes.WithLabelValues(o.Route).Inc()
	}
	m.tenants.observe(o)
	if o.Result == dispatch.ResultRefused {
		m.refused.WithLabelValues(refusalReason(o)).Inc()
	}
	if o.Denied() {
		m.denied.WithLabelValues(string(o.Problem.Code), strconv.Itoa(o.Status)).Inc()
	}
	m.attempts.Add(float64(o.Attempts))
	m.countEndings(o)
	m.countCut(o)
	m.resumes.Add(float64(o.Resumes))
	m.waitTime.Observe(o.Waited.Seconds())
	if o.First > 0 {
		m.firstByte.WithLabelValues(o.Route).Observe(o.First.Seconds())
	}
}

// CountCrash counts a runner that ended under a request of the node.
func (m *Metrics) CountCrash() { m.crashes.Inc() }

// CountUndeliveredCrashReport counts a report of crashes that a node did not accept.
func (m *Metrics) CountUndeliveredCrashReport() { m.undeliveredCrashReports.Inc() }

// CountUnreadable counts a row of a table that could not be read.
func (m *Metrics) CountUnreadable(table string) { m.unreadable.WithLabelValues(table).Inc() }

// CountInvalidReport counts a report of a runner that was passed over.
func (m *Metrics) CountInvalidReport() { m.invalidReports.Inc() }

// CountStatement counts a runner's statement about itself.
func (m *Metrics) CountStatement(kind statement.Kind) {
	m.statements.WithLabelValues(string(kind)).Inc()
}

// countEndings counts who ended a request's attempts.
func (m *Metrics) countEndings(o dispatch.Outcome) {
	for _, ending := range o.Endings {
		m.failed.WithLabelValues(string(ending)).Inc()
	}
	if o.Broken() && len(o.Endings) > 0 {
		m.broken.WithLabelValues(string(o.Endings[len(o.Endings)-1])).Inc()
	}
}

// countCut counts an answer that the node's stop cut off.
func (m *Metrics) countCut(o dispatch.Outcome) {
	if o.Stop != nil && o.Stop.Cut {
		m.cut.WithLabelValues(string(o.Stop.Phase)).Inc()
	}
}

// registerCold registers the metrics of cold runners and of the permits to use them.
func registerCold(registry *prometheus.Registry, cold func() fleet.ColdFigures) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lilacvane_runners_cold", Help: "Runners that are cold, as far as this node knows.",
	}, func() float64 { return float64(cold().Cold) }))
	counter := func(result string, value func(fleet.ColdFigures) uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacvane_cold_permits_total", ConstLabels: prometheus.Labels{"result": result},
			Help: "Permits for cold runners: lent to this node, spent by requests sent, refused as there was none.",
		}, func() float64 { return float64(value(cold())) }))
	}
	counter("lent", func(c fleet.ColdFigures) uint64 { return c.Lent })
	counter("spent", func(c fleet.ColdFigures) uint64 { return c.Spent })
	counter("refused", func(c fleet.ColdFigures) uint64 { return c.Refused })
}

// newStatementCounter returns a counter of statements by kind.
func newStatementCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_runner_statements_total", Help: "What runners stated of themselves in answers, by kind; doubtful is what could not be taken as it was said.",
	}, []string{"kind"})
}
