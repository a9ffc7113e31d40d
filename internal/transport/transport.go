package transport

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Handler processes a received frame and owns it. Each connection has its own goroutine
// that calls the handler, so that calls may be concurrent, and no further frame of that
// connection is read until the handler returns. A handler must not call Close, which waits
// for all handlers to return.
type Handler func(frame []byte)

// Transport sends frames to peers and passes received frames to its handler.
type Transport struct {
	options  Options
	listener net.Listener
	handler  Handler
	dial     dialFunc
	counters counters
	// peerContext returns a context for a new peer, which ends with the transport. It is
	// a function because peers start in Send, and a struct should not contain a context.
	peerContext func() (context.Context, context.CancelFunc)
	// cancel cancels the context of the goroutines that Listen and Send started, and
	// running waits for their end.
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex  sync.Mutex
	closed bool
	// peers contains the peers that frames are sent to, by address.
	peers map[string]*peer
	// inbound contains the connections that other nodes opened.
	inbound map[net.Conn]struct{}
}

// Listen starts a transport that accepts connections on address, a host and port, and
// sends frames from the host of address. The transport calls the handler with each
// received frame. Close stops the transport.
func Listen(address string, handler Handler, options Options) (*Transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "transport: cannot listen on %s; check that the address belongs to this machine and that its port is not in use", address)
	}
	options = options.withDefaults()
	background, cancel := context.WithCancel(context.Background())
	transport := &Transport{
		options:  options,
		listener: listener,
		handler:  handler,
		dial:     dialWith(newDialer(listener.Addr(), options)),
		peerContext: func() (context.Context, context.CancelFunc) {
			return context.WithCancel(background)
		},
		cancel:  cancel,
		peers:   map[string]*peer{},
		inbound: map[net.Conn]struct{}{},
	}
	transport.running.Go(func() { transport.accept(background) })
	return transport, nil
}

// Address returns the host and port that the transport listens on.
func (t *Transport) Address() string {
	return t.listener.Addr().String()
}

// Send queues a frame for the peer that listens on address, a host and port.
// It never blocks. A frame that cannot be queued or sent is dropped and
// counted. The transport owns the frame after the call. A peer takes up a connection
// and goroutines until its connection has been idle for IdleTimeout, or until Forget,
// which is meant for peers that have left.
func (t *Transport) Send(address string, frame []byte) {
	if len(frame) > MaxFrameBytes || len(frame) == 0 {
		t.counters.droppedSize.Add(1)
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		t.counters.droppedClosed.Add(1)
		return
	}
	t.peer(address).enqueue(frame)
}

// peer returns the peer at address and starts it if it is new. The caller holds the
// mutex, and the transport is not closed.
func (t *Transport) peer(address string) *peer {
	existing := t.peers[address]
	if existing == nil {
		ctx, cancel := t.peerContext()
		existing = newPeer(t, address, cancel)
		t.peers[address] = existing
		t.running.Go(func() { existing.run(ctx) })
	}
	return existing
}

// Forget closes the connection to a peer and drops the frames queued for it. A later Send
// opens a new connection.
func (t *Transport) Forget(address string) {
	t.mutex.Lock()
	forgotten := t.peers[address]
	delete(t.peers, address)
	t.mutex.Unlock()
	if forgotten != nil {
		forgotten.stop()
	}
}

// Close stops listening, closes all connections, drops the queued frames, and returns
// when no handler is running any more.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	peers := t.peers
	t.peers = map[string]*peer{}
	for connection := range t.inbound {
		_ = connection.Close()
	}
	t.mutex.Unlock()
	t.cancel()
	_ = t.listener.Close()
	for _, stopped := range peers {
		stopped.stop()
	}
	t.running.Wait()
}

// retire removes a peer to which nothing has been sent for IdleTimeout, unless its queue
// contains frames again, and reports whether it removed the peer. A later Send opens a new
// connection.
func (t *Transport) retire(idle *peer) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if queued, _ := idle.queue.size(); queued > 0 {
		return false
	}
	if t.peers[idle.address] == idle {
		delete(t.peers, idle.address)
	}
	t.counters.connectionsRetired.Add(1)
	return true
}
