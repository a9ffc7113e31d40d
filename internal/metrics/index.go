package metrics

import "github.com/prometheus/client_golang/prometheus"

// indexCollector collects the size of the prefix index.
type indexCollector struct {
	metricSet
	traffic       Traffic
	chunks, bytes metric
}

func newIndexCollector(traffic Traffic) *indexCollector {
	c := &indexCollector{traffic: traffic}
	c.chunks = c.gauge("index", "parts", "Pairs of a part of a prefix and a holder of it, by how it is known.", "source")
	c.bytes = c.gauge("index", "bytes", "Memory of the tables of reported parts.")
	return c
}

// Collect implements prometheus.Collector.
func (c *indexCollector) Collect(into chan<- prometheus.Metric) {
	stats := c.traffic.IndexStats()
	c.chunks.send(into, float64(stats.Reported), "reported")
	c.chunks.send(into, float64(stats.Predicted), "predicted")
	c.bytes.send(into, float64(stats.Bytes))
}
