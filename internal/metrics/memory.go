package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/memory"
)

// registerMemory registers the figures of the memory of requests, by whom they come from.
func registerMemory(registry *prometheus.Registry, sources map[string]func() memory.Figures) {
	for from, figures := range sources {
		labels := prometheus.Labels{"from": from}
		gauge := func(name, help string, value func(memory.Figures) float64) {
			registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return value(figures()) }))
		}
		counter := func(name, help string, value func(memory.Figures) int64) {
			registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(value(figures())) }))
		}
		gauge("lilacvane_request_memory_limit_bytes", "Memory that connections and requests may take.", func(f memory.Figures) float64 { return float64(f.Limit) })
		gauge("lilacvane_request_memory_bytes", "Memory that connections and requests take.", func(f memory.Figures) float64 { return float64(f.Used) })
		gauge("lilacvane_request_memory_peak_bytes", "Most memory that connections and requests took since the start.", func(f memory.Figures) float64 { return float64(f.Peak) })
		gauge("lilacvane_connections_open", "Open connections.", func(f memory.Figures) float64 { return float64(f.Open) })
		counter("lilacvane_request_memory_refused_total", "Connections and requests that found no room.", func(f memory.Figures) int64 { return f.Refused })
		counter("lilacvane_request_memory_evicted_total", "Connections whose memory was needed for others.", func(f memory.Figures) int64 { return f.Evicted })
	}
}
