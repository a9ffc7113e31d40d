package links

import (
	"context"
	"net"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// stream is one direction of a relayed connection.
type stream struct {
	network *Network
	link    Link
	from    net.Conn
	to      net.Conn
	// closed is guarded by the network's lock.
	closed bool
}

// pump relays bytes until the stream ends. Like bytes, the end of the stream does not
// pass a blocked link: it is relayed once the link is unblocked.
func (s *stream) pump(ctx context.Context) {
	defer s.network.forget(s)
	buffer := make([]byte, bufferBytes)
	for {
		read, err := s.from.Read(buffer)
		if read > 0 && !s.pass(ctx, buffer[:read]) {
			return
		}
		if err != nil {
			s.awaitOpen(ctx)
			_ = s.to.Close()
			return
		}
	}
}

// pass writes bytes to the receiver after the link's delay, unless the link loses them.
// It returns false when the stream has ended.
func (s *stream) pass(ctx context.Context, bytes []byte) bool {
	state, _ := s.network.state(s.link)
	if !pause.For(ctx, state.Delay) {
		return false
	}
	if s.network.loses(s, len(bytes)) {
		return true
	}
	if _, err := s.to.Write(bytes); err != nil {
		_ = s.from.Close()
		return false
	}
	return true
}

// awaitOpen waits until the link is not blocked or the context ends.
func (s *stream) awaitOpen(ctx context.Context) {
	for {
		state, changed := s.network.state(s.link)
		if !state.Blocked {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// close closes both connections and thereby ends both directions. The caller holds the network's lock.
func (s *stream) close() {
	s.closed = true
	_ = s.from.Close()
	_ = s.to.Close()
}
