package transport

import "sync/atomic"

// Stats contains the counters of a Transport since Listen and its current queue sizes.
type Stats struct {
	FramesSent     uint64
	BytesSent      uint64
	FramesReceived uint64
	BytesReceived  uint64
	// DroppedFull counts frames dropped from a full queue to make room for newer ones.
	DroppedFull uint64
	// DroppedUnsent counts the frames of writes that failed, which ends the connection.
	DroppedUnsent uint64
	// DroppedSize counts frames passed to Send that were empty or larger than
	// MaxFrameBytes.
	DroppedSize uint64
	// DroppedClosed counts frames passed to Send after Close, and frames that were
	// queued at Close or Forget.
	DroppedClosed       uint64
	ConnectionsOpened   uint64
	ConnectFailures     uint64
	ConnectionsAccepted uint64
	// ConnectionsRetired counts connections that this node closed because nothing was
	// sent on them for IdleTimeout.
	ConnectionsRetired uint64
	// ConnectionsRefused counts connections of other nodes that were closed at once
	// because there were MaxConnections already, or because the transport was closed.
	ConnectionsRefused uint64
	// BadFrames counts received frames whose length was out of bounds, that were
	// truncated, or that took longer than FrameTimeout.
	BadFrames uint64
	// Peers, QueuedFrames and QueuedBytes are the current values.
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
