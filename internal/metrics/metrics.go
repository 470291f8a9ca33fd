// Package metrics exposes a node's figures to Prometheus.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/request"
	"lilacvane/internal/traffic"
)

const millisecondsPerSecond = 1000

// Metrics are the figures of one node.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	coldStart prometheus.Histogram
	firstPart *prometheus.HistogramVec
	queueWait *prometheus.HistogramVec
	retries   prometheus.Counter
	idle      prometheus.Counter
}

// kindCollector exposes the messages between nodes by kind.
type kindCollector struct {
	counter  *traffic.Counter
	messages *prometheus.Desc
	bytes    *prometheus.Desc
}

func newKindCollector(counter *traffic.Counter) *kindCollector {
	labels := []string{"kind"}
	return &kindCollector{
		counter:  counter,
		messages: prometheus.NewDesc("lilacvane_peer_messages_total", "Messages between nodes by kind.", labels, nil),
		bytes:    prometheus.NewDesc("lilacvane_peer_content_bytes_total", "Content of messages between nodes by kind, without headers.", labels, nil),
	}
}

// Describe sends the descriptions.
func (k *kindCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- k.messages
	descriptions <- k.bytes
}

// Collect sends the figures.
func (k *kindCollector) Collect(figures chan<- prometheus.Metric) {
	for kind, counted := range k.counter.Kinds() {
		figures <- prometheus.MustNewConstMetric(k.messages, prometheus.CounterValue, float64(counted.Messages), kind)
		figures <- prometheus.MustNewConstMetric(k.bytes, prometheus.CounterValue, float64(counted.Bytes), kind)
	}
}

// Traffic are the counters of a node's control connections.
type Traffic struct {
	Peers    *traffic.Counter
	Platform *traffic.Counter
	Runners  *traffic.Counter
}

func both(counter *traffic.Counter) float64 {
	return float64(counter.Sent.Load() + counter.Received.Load())
}

// New returns the figures of a node; depths and control are read when asked.
func New(depths func() [api.ClassCount]int, revision func() uint64, control Traffic) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 18)
	m := &Metrics{
		registry:  prometheus.NewRegistry(),
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lilacvane_requests_total", Help: "Requests by class and final outcome code (served, or the refusal's code)."}, []string{"class", "code", "ran"}),
		coldStart: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "lilacvane_cold_start_seconds", Help: "Time from arrival to the first part of the answer for requests that found no ready replica.", Buckets: buckets}),
		firstPart: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lilacvane_first_part_seconds", Help: "Time from arrival to the first part of the answer.", Buckets: buckets}, []string{"class"}),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lilacvane_queue_age_seconds", Help: "Time from arrival to a place on a replica.", Buckets: buckets}, []string{"class"}),
		retries:   prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacvane_retries_total", Help: "Sends of a request after the first."}),
		idle:      prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacvane_idle_accelerator_seconds_total", Help: "Seconds that loaded replicas on owned runners stood without work."}),
	}
	m.registry.MustRegister(m.requests, m.coldStart, m.firstPart, m.queueWait, m.retries, m.idle)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauges(depths, revision, control)
	return m
}

func (m *Metrics) registerGauges(depths func() [api.ClassCount]int, revision func() uint64, control Traffic) {
	for class := range api.Class(api.ClassCount) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lilacvane_waiting_requests", Help: "Requests that wait at this node.", ConstLabels: prometheus.Labels{"class": class.String()},
		}, func() float64 { return float64(depths()[class]) }))
	}
	m.registry.MustRegister(
		newKindCollector(control.Peers),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "lilacvane_revision", Help: "Configuration revision in force at this node."}, func() float64 { return float64(revision()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lilacvane_peer_sent_bytes_total", Help: "Bytes sent to other nodes."}, func() float64 { return float64(control.Peers.Sent.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lilacvane_peer_received_bytes_total", Help: "Bytes received from other nodes."}, func() float64 { return float64(control.Peers.Received.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lilacvane_platform_bytes_total", Help: "Bytes exchanged with the platform's table and machine list."}, func() float64 { return both(control.Platform) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lilacvane_runner_control_bytes_total", Help: "Bytes of orders to and reports from runners."}, func() float64 { return both(control.Runners) }),
	)
}

// Finished counts a request's final outcome.
func (m *Metrics) Finished(r request.Request, timings request.Timings, failure *fault.Error) {
	code, ran := "served", fault.Done.String()
	if failure != nil {
		code, ran = string(failure.Code), failure.Ran.String()
	}
	class := r.Class.String()
	m.requests.WithLabelValues(class, code, ran).Inc()
	if timings.Tries > 1 {
		m.retries.Add(float64(timings.Tries - 1))
	}
	if timings.Placed >= 0 {
		m.queueWait.WithLabelValues(class).Observe(float64(timings.Placed) / millisecondsPerSecond)
	}
	if timings.First < 0 {
		return
	}
	first := float64(timings.First) / millisecondsPerSecond
	m.firstPart.WithLabelValues(class).Observe(first)
	if timings.Cold {
		m.coldStart.Observe(first)
	}
}

// AddIdle counts idle seconds of loaded replicas.
func (m *Metrics) AddIdle(seconds float64) { m.idle.Add(seconds) }

// Handler answers scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
