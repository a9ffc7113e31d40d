package metrics

import "github.com/prometheus/client_golang/prometheus"

// messageCollector reads the counters of messages to other nodes, by kind and by
// whether they stay in the zone.
type messageCollector struct {
	control      Control
	count, bytes metric
}

func newMessageCollector(control Control) *messageCollector {
	const subsystem = "messages"
	return &messageCollector{
		control: control,
		count:   counter(subsystem, "sent_total", "Messages to other nodes.", "kind", "zone"),
		bytes:   counter(subsystem, "sent_bytes_total", "Bytes of messages to other nodes, without the cost of connections.", "kind", "zone"),
	}
}

// Describe implements prometheus.Collector.
func (c *messageCollector) Describe(into chan<- *prometheus.Desc) {
	into <- c.count.description
	into <- c.bytes.description
}

// Collect implements prometheus.Collector.
func (c *messageCollector) Collect(into chan<- prometheus.Metric) {
	for _, messages := range c.control.Sent() {
		c.count.send(into, float64(messages.Frames), messages.Kind.String(), messages.Distance.String())
		c.bytes.send(into, float64(messages.Bytes), messages.Kind.String(), messages.Distance.String())
	}
}
