package transport

import "sync/atomic"

// Stats counts what a Transport did since Listen.
type Stats struct {
	FramesSent     uint64
	BytesSent      uint64
	FramesReceived uint64
	BytesReceived  uint64
	// DroppedFull frames gave way to newer ones in a full queue.
	DroppedFull uint64
	// DroppedUnsent frames were lost with a connection.
	DroppedUnsent uint64
	// DroppedSize frames were empty or larger than MaxFrameBytes.
	DroppedSize uint64
	// DroppedClosed frames were sent after Close, or waited at Close or Forget.
	DroppedClosed       uint64
	ConnectionsOpened   uint64
	ConnectFailures     uint64
	ConnectionsAccepted uint64
	// ConnectionsRetired were closed by this node since nothing was sent on them.
	ConnectionsRetired uint64
	// ConnectionsRefused exceeded MaxConnections.
	ConnectionsRefused uint64
	// BadFrames had a length out of bounds, or were cut or stalled half way.
	BadFrames uint64
	// Peers, QueuedFrames and QueuedBytes are of the present moment.
	Peers        int
	QueuedFrames int
	QueuedBytes  int
}

type counters struct {
	framesSent, bytesSent              atomic.Uint64
	framesReceived, bytesReceived      atomic.Uint64
	droppedFull, droppedUnsent         atomic.Uint64
	droppedSize, droppedClosed         atomic.Uint64
	connectionsOpened, connectFailures atomic.Uint64
	connectionsAccepted                atomic.Uint64
	connectionsRetired                 atomic.Uint64
	connectionsRefused                 atomic.Uint64
	badFrames                          atomic.Uint64
}

// Stats returns the counts so far.
func (t *Transport) Stats() Stats {
	stats := Stats{
		FramesSent:          t.counters.framesSent.Load(),
		BytesSent:           t.counters.bytesSent.Load(),
		FramesReceived:      t.counters.framesReceived.Load(),
		BytesReceived:       t.counters.bytesReceived.Load(),
		DroppedFull:         t.counters.droppedFull.Load(),
		DroppedUnsent:       t.counters.droppedUnsent.Load(),
		DroppedSize:         t.counters.droppedSize.Load(),
		DroppedClosed:       t.counters.droppedClosed.Load(),
		ConnectionsOpened:   t.counters.connectionsOpened.Load(),
		ConnectFailures:     t.counters.connectFailures.Load(),
		ConnectionsAccepted: t.counters.connectionsAccepted.Load(),
		ConnectionsRetired:  t.counters.connectionsRetired.Load(),
		ConnectionsRefused:  t.counters.connectionsRefused.Load(),
		BadFrames:           t.counters.badFrames.Load(),
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stats.Peers = len(t.peers)
	for _, peer := range t.peers {
		frames, bytes := peer.queue.size()
		stats.QueuedFrames += frames
		stats.QueuedBytes += bytes
	}
	return stats
}
