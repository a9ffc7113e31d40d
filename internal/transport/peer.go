package transport

import (
	"context"
	"encoding/binary"
	"net"
	"time"
)

const (
	// lengthBytes is the size of the length before each frame, a big-endian uint32.
	lengthBytes = 4
	// batchBytes bounds the frames that one write takes from the queue. A larger frame
	// is written alone.
	batchBytes = 256 << 10
)

// peer sends the frames for one address. One goroutine runs it; enqueue and stop may
// be called from others.
type peer struct {
	transport *Transport
	address   string
	queue     *queue
	// cancel stops the goroutine.
	cancel context.CancelFunc
	// retired means that the transport has removed this peer as idle. Only the goroutine
	// of the peer accesses the field.
	retired bool
}

func newPeer(transport *Transport, address string, cancel context.CancelFunc) *peer {
	options := transport.options
	return &peer{
		transport: transport,
		address:   address,
		queue:     newQueue(options.MaxQueuedFrames, options.MaxQueuedBytes),
		cancel:    cancel,
	}
}

func (p *peer) enqueue(frame []byte) {
	dropped := p.queue.push(frame)
	p.transport.counters.droppedFull.Add(uint64(dropped))
}

func (p *peer) stop() {
	p.cancel()
}

// run connects when frames are queued, and again after each loss of the connection, until
// nothing has been sent on a connection for IdleTimeout, or the peer is stopped. Then it
// drops the queued frames.
func (p *peer) run(ctx context.Context) {
	defer p.cancel()
	defer p.dropQueued()
	attempts := newDialAttempts(&p.transport.options)
	for !p.retired && p.waitForFrames(ctx) {
		connection, err := p.transport.dial(ctx, p.address, attempts.timeout)
		if err != nil {
			p.transport.counters.connectFailures.Add(1)
		} else {
			p.transport.counters.connectionsOpened.Add(1)
			if p.serve(ctx, connection) {
				attempts.succeeded()
				continue
			}
		}
		// The backoff also follows a connection on which no frame was sent: a peer that
		// accepts connections and then closes them must not be dialled in a busy loop.
		if !p.waitBackoff(ctx, attempts.failed(err)) {
			return
		}
	}
}

// waitForFrames waits until the queue holds frames. It returns false when the peer was
// stopped.
func (p *peer) waitForFrames(ctx context.Context) bool {
	for {
		if frames, _ := p.queue.size(); frames > 0 {
			return ctx.Err() == nil
		}
		select {
		case <-p.queue.ready:
		case <-ctx.Done():
			return false
		}
	}
}

// serve sends frames until the connection is lost, the peer is stopped, or the transport
// retires the peer as idle. It reports whether any frame was sent.
func (p *peer) serve(ctx context.Context, connection net.Conn) (sentAny bool) {
	lost := make(chan struct{})
	p.transport.running.Go(func() { closeOnPeerClose(connection, lost) })
	defer func() { _ = connection.Close() }()
	idle := time.NewTimer(p.transport.options.IdleTimeout)
	defer idle.Stop()
	sentAt := time.Now()
	for {
		batch := p.queue.pop(batchBytes)
		if len(batch) > 0 {
			if !p.write(ctx, connection, batch) {
				return sentAny
			}
			sentAny = true
			sentAt = time.Now()
			continue
		}
		select {
		case <-p.queue.ready:
		case <-idle.C:
			remaining := p.transport.options.IdleTimeout - time.Since(sentAt)
			if remaining <= 0 && p.transport.retire(p) {
				p.retired = true
				return sentAny
			}
			idle.Reset(max(remaining, p.transport.options.MinBackoff))
		case <-lost:
			return sentAny
		case <-ctx.Done():
			return sentAny
		}
	}
}

// closeOnPeerClose closes the connection when the other side has closed it, so that
// further frames are not lost on it. The other side never sends anything on the
// connection, so that any return of Read counts as its end.
func closeOnPeerClose(connection net.Conn, lost chan<- struct{}) {
	var unexpected [1]byte
	_, _ = connection.Read(unexpected[:])
	_ = connection.Close()
	close(lost)
}

// write sends a batch. It returns false if the connection failed; then it counts the
// frames of the batch as dropped.
func (p *peer) write(ctx context.Context, connection net.Conn, batch [][]byte) bool {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	buffers := make(net.Buffers, 0, 2*len(batch))
	total := 0
	for _, frame := range batch {
		length := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes), uint32(len(frame)))
		buffers = append(buffers, length, frame)
		total += lengthBytes + len(frame)
	}
	if err := connection.SetWriteDeadline(time.Now().Add(p.transport.options.WriteTimeout)); err != nil {
		p.transport.counters.droppedUnsent.Add(uint64(len(batch)))
		return false
	}
	if _, err := buffers.WriteTo(connection); err != nil {
		p.transport.counters.droppedUnsent.Add(uint64(len(batch)))
		return false
	}
	p.transport.counters.framesSent.Add(uint64(len(batch)))
	p.transport.counters.bytesSent.Add(uint64(total))
	return true
}

// waitBackoff waits before the next attempt to connect; it returns false when the peer
// was stopped.
func (p *peer) waitBackoff(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// dropQueued empties the queue and counts its frames as dropped.
func (p *peer) dropQueued() {
	for {
		batch := p.queue.pop(p.transport.options.MaxQueuedBytes)
		if len(batch) == 0 {
			return
		}
		p.transport.counters.droppedClosed.Add(uint64(len(batch)))
	}
}
