package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/link"
)

// linkFigures tells the counts of connections.
type linkFigures struct {
	links   *link.Record
	dialed  *prometheus.Desc
	dropped *prometheus.Desc
}

func newLinkFigures(links *link.Record) *linkFigures {
	return &linkFigures{
		links:  links,
		dialed: prometheus.NewDesc("lilacvane_connections_total", "Connections made, by what they carry.", []string{"kind"}, nil),
		dropped: prometheus.NewDesc("lilacvane_connections_dropped_total", "Connections dropped, by what they carried and why.",
			[]string{"kind", "reason"}, nil),
	}
}

// Describe tells which figures there are.
func (f *linkFigures) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- f.dialed
	descriptions <- f.dropped
}

// Collect tells the figures. Those of dropped connections that are zero are left out.
func (f *linkFigures) Collect(metrics chan<- prometheus.Metric) {
	f.links.Kinds(func(kind link.Kind, dialed uint64) {
		metrics <- prometheus.MustNewConstMetric(f.dialed, prometheus.CounterValue, float64(dialed), kind.String())
	})
	f.links.Each(func(kind link.Kind, reason link.Reason, count uint64) {
		if count > 0 {
			metrics <- prometheus.MustNewConstMetric(f.dropped, prometheus.CounterValue, float64(count), kind.String(), reason.String())
		}
	})
}
