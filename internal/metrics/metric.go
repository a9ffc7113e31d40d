package metrics

import "github.com/prometheus/client_golang/prometheus"

// metric is a described counter or gauge.
type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
}

// counter describes a counter of the node since its process started.
func counter(subsystem, name, help string, labels ...string) metric {
	return describe(prometheus.CounterValue, subsystem, name, help, labels)
}

// gauge describes a value of the present moment.
func gauge(subsystem, name, help string, labels ...string) metric {
	return describe(prometheus.GaugeValue, subsystem, name, help, labels)
}

// describe returns a metric by its name below the namespace.
func describe(kind prometheus.ValueType, subsystem, name, help string, labels []string) metric {
	full := prometheus.BuildFQName(namespace, subsystem, name)
	return metric{description: prometheus.NewDesc(full, help, labels, nil), kind: kind}
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
