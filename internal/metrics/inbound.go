package metrics

import "github.com/prometheus/client_golang/prometheus"

// inboundCollector collects what clients make the process hold.
type inboundCollector struct {
	metricSet
	clients                              Inbound
	bytes, connections, refused, evicted metric
}

func newInboundCollector(clients Inbound) *inboundCollector {
	const subsystem = "inbound"
	c := &inboundCollector{clients: clients}
	c.bytes = c.gauge(subsystem, "held_bytes", "Bytes that the requests of clients are charged for.")
	c.connections = c.gauge(subsystem, "connections", "Open connections of clients at all ports.")
	c.refused = c.counter(subsystem, "refused_total", "Requests and connections of clients for which there was no room.")
	c.evicted = c.counter(subsystem, "evicted_total", "Incomplete requests and waiting connections of clients that made room for others.")
	return c
}

// Collect implements prometheus.Collector.
func (c *inboundCollector) Collect(into chan<- prometheus.Metric) {
	stats := c.clients.Stats()
	c.bytes.send(into, float64(stats.HeldBytes))
	c.connections.send(into, float64(stats.Connections))
	c.refused.send(into, float64(stats.Refused))
	c.evicted.send(into, float64(stats.Evicted))
}
