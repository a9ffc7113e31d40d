package metrics

import "github.com/prometheus/client_golang/prometheus"

// metric is the description and the type of a counter or gauge.
type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
}

// metricSet contains the metrics of a collector and implements its Describe. Collectors embed
// it.
type metricSet struct {
	metrics []metric
}

// counter adds a counter that starts at 0 when the node's process starts.
func (s *metricSet) counter(subsystem, name, help string, labels ...string) metric {
	return s.add(prometheus.CounterValue, subsystem, name, help, labels)
}

// gauge adds a gauge: a value at the time of the scrape.
func (s *metricSet) gauge(subsystem, name, help string, labels ...string) metric {
	return s.add(prometheus.GaugeValue, subsystem, name, help, labels)
}

// add adds a metric whose full name is built from the namespace, the subsystem and the name.
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

// send sends one value of the metric to a scrape. The label values are in the order of the
// metric's labels.
func (m metric) send(into chan<- prometheus.Metric, value float64, labels ...string) {
	into <- prometheus.MustNewConstMetric(m.description, m.kind, value, labels...)
}

// boolValue returns 1 for true and 0 for false.
func boolValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
