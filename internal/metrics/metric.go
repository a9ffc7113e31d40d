package metrics

import "github.com/prometheus/client_golang/prometheus"

// metric is a described counter or gauge.
type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
}

// metricSet holds the metrics of a collector, which embeds it, and describes them.
type metricSet struct {
	metrics []metric
}

// counter adds a counter of the node since its process started.
func (s *metricSet) counter(subsystem, name, help string, labels ...string) metric {
	return s.add(prometheus.CounterValue, subsystem, name, help, labels)
}

// gauge adds a value of the present moment.
func (s *metricSet) gauge(subsystem, name, help string, labels ...string) metric {
	return s.add(prometheus.GaugeValue, subsystem, name, help, labels)
}

// add adds a metric by its name below the namespace.
func (s *metricSet) add(kind prometheus.ValueType, subsystem, name, help string, labels []string) metric {
	full := prometheus.BuildFQName(namespace, subsystem, name)
	added := metric{description: prometheus.NewDesc(full, help, labels, nil), kind: kind}
	s.metrics = append(s.metrics, added)
	return added
}

// Describe implements prometheus.Collector.
func (s *metricSet) Describe(into chan<- *prometheus.Desc) {
	for _, described := range s.metrics {
		into <- described.description
	}
}

// send sends one value to a scrape, with a value for each label in its order.
func (m metric) send(into chan<- prometheus.Metric, value float64, labels ...string) {
	into <- prometheus.MustNewConstMetric(m.description, m.kind, value, labels...)
}

// boolValue is 1 for true and 0 for false.
func boolValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
