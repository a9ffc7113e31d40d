package metrics

import "github.com/prometheus/client_golang/prometheus"

// messageCollector collects the counters of messages to other nodes, by kind and by whether
// the recipient is in the same zone.
type messageCollector struct {
	metricSet
	control      Control
	count, bytes metric
}

func newMessageCollector(control Control) *messageCollector {
	const subsystem = "messages"
	c := &messageCollector{control: control}
	c.count = c.counter(subsystem, "sent_total", "Messages to other nodes.", "kind", "zone")
	c.bytes = c.counter(subsystem, "sent_bytes_total", "Bytes of messages to other nodes, without the cost of connections.", "kind", "zone")
	return c
}

// Collect implements prometheus.Collector.
func (c *messageCollector) Collect(into chan<- prometheus.Metric) {
	for _, messages := range c.control.Sent() {
		c.count.send(into, float64(messages.Frames), messages.Kind.String(), messages.Distance.String())
		c.bytes.send(into, float64(messages.Bytes), messages.Kind.String(), messages.Distance.String())
	}
}
