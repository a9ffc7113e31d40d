package metrics

import "github.com/prometheus/client_golang/prometheus"

// The directions of frames: the values of the label "direction".
const (
	sent     = "sent"
	received = "received"
)

// transportCollector collects the counters of frames and connections between nodes.
type transportCollector struct {
	metricSet
	frames                           Transport
	count, bytes, dropped, bad       metric
	connections, connectionFailures  metric
	peers, queuedFrames, queuedBytes metric
}

func newTransportCollector(frames Transport) *transportCollector {
	const subsystem = "transport"
	c := &transportCollector{frames: frames}
	c.count = c.counter(subsystem, "frames_total", "Frames to and from other nodes.", "direction")
	c.bytes = c.counter(subsystem, "bytes_total", "Bytes to and from other nodes.", "direction")
	c.dropped = c.counter(subsystem, "dropped_frames_total", "Frames that were not sent, by reason.", "reason")
	c.bad = c.counter(subsystem, "bad_frames_total", "Received frames that were cut, stalled or of a wrong length.")
	c.connections = c.counter(subsystem, "connections_total", "Connections with other nodes, by what became of them.", "outcome")
	c.connectionFailures = c.counter(subsystem, "connect_failures_total", "Connections to other nodes that could not be opened.")
	c.peers = c.gauge(subsystem, "peers", "Nodes that frames are queued or sent for.")
	c.queuedFrames = c.gauge(subsystem, "queued_frames", "Frames that wait to be sent.")
	c.queuedBytes = c.gauge(subsystem, "queued_bytes", "Bytes that wait to be sent.")
	return c
}

// Collect implements prometheus.Collector.
func (c *transportCollector) Collect(into chan<- prometheus.Metric) {
	stats := c.frames.Stats()
	c.count.send(into, float64(stats.FramesSent), sent)
	c.count.send(into, float64(stats.FramesReceived), received)
	c.bytes.send(into, float64(stats.BytesSent), sent)
	c.bytes.send(into, float64(stats.BytesReceived), received)
	c.dropped.send(into, float64(stats.DroppedFull), "queue_full")
	c.dropped.send(into, float64(stats.DroppedUnsent), "connection_lost")
	c.dropped.send(into, float64(stats.DroppedSize), "size")
	c.dropped.send(into, float64(stats.DroppedClosed), "closed")
	c.bad.send(into, float64(stats.BadFrames))
	c.connections.send(into, float64(stats.ConnectionsOpened), "opened")
	c.connections.send(into, float64(stats.ConnectionsAccepted), "accepted")
	c.connections.send(into, float64(stats.ConnectionsRefused), "refused")
	c.connections.send(into, float64(stats.ConnectionsRetired), "retired")
	c.connectionFailures.send(into, float64(stats.ConnectFailures))
	c.peers.send(into, float64(stats.Peers))
	c.queuedFrames.send(into, float64(stats.QueuedFrames))
	c.queuedBytes.send(into, float64(stats.QueuedBytes))
}
