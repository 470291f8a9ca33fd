package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/link"
)

// linkCollector exports the connection counters.
type linkCollector struct {
	links   *link.Record
	dialed  *prometheus.Desc
	dropped *prometheus.Desc
}

func newLinkCollector(links *link.Record) *linkCollector {
	return &linkCollector{
		links:  links,
		dialed: prometheus.NewDesc("lilacvane_connections_total", "Connections made, by what they carry.", []string{"kind"}, nil),
		dropped: prometheus.NewDesc("lilacvane_connections_dropped_total", "Connections dropped, by what they carried and why.",
			[]string{"kind", "reason"}, nil),
	}
}

// Describe sends the descriptions of the metrics.
func (c *linkCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.dialed
	descriptions <- c.dropped
}

// Collect sends the metrics. It omits counters of dropped connections that are zero.
func (c *linkCollector) Collect(metrics chan<- prometheus.Metric) {
	c.links.Kinds(func(kind link.Kind, dialed uint64) {
		metrics <- prometheus.MustNewConstMetric(c.dialed, prometheus.CounterValue, float64(dialed), kind.String())
	})
	c.links.Each(func(kind link.Kind, reason link.Reason, count uint64) {
		if count > 0 {
			metrics <- prometheus.MustNewConstMetric(c.dropped, prometheus.CounterValue, float64(count), kind.String(), reason.String())
		}
	})
}
