package transport

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Handler takes a frame that arrived. It owns the frame. It is called from one
// goroutine for each connection, so from several at once, and no further frame
// of that connection is read until it returns. It must not call Close.
type Handler func(frame []byte)

// Transport sends frames to peers and hands frames that arrive to its handler.
type Transport struct {
	options  Options
	listener net.Listener
	handler  Handler
	dial     dialFunc
	counters counters
	// peerContext returns a context for a new peer, which ends with the transport. It is
	// a function, since peers start in Send, and a struct is not to hold a context.
	peerContext func() (context.Context, context.CancelFunc)
	// cancel ends everything that Listen or Send started, and running waits for it.
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex  sync.Mutex
	closed bool
	// peers are those that frames are sent to, by address.
	peers map[string]*peer
	// inbound are the connections that other nodes opened.
	inbound map[net.Conn]struct{}
}

// Listen starts to accept frames on address, a host and port, and to send from
// the host of address. The handler gets each frame that arrives. Close ends the transport.
func Listen(address string, handler Handler, options Options) (*Transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "transport: cannot listen on %s; check that the address is this machine's and free", address)
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
// counted. The transport owns the frame from here on. A peer costs a connection and
// goroutines until nothing has been sent to it for IdleTimeout, or until Forget, which
// is for those that have left.
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

// Forget closes the connection to a peer and drops what is queued for it. A
// later Send starts afresh.
func (t *Transport) Forget(address string) {
	t.mutex.Lock()
	forgotten := t.peers[address]
	delete(t.peers, address)
	t.mutex.Unlock()
	if forgotten != nil {
		forgotten.stop()
	}
}

// Close stops listening, closes all connections, drops what is queued, and
// returns when no handler runs any more.
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

// retire drops a peer that has sent nothing for IdleTimeout, unless its queue has frames
// again, and reports whether it did. A later Send starts afresh.
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
