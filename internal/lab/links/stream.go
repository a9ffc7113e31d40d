package links

import (
	"context"
	"net"
	"time"
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

// pump relays until the stream ends. The end passes the link as bytes do: not
// while it is cut.
func (one *stream) pump(ctx context.Context) {
	defer one.network.forget(one)
	buffer := make([]byte, bufferBytes)
	for {
		read, err := one.from.Read(buffer)
		if read > 0 && !one.pass(ctx, buffer[:read]) {
			return
		}
		if err != nil {
			one.awaitPassage(ctx)
			_ = one.to.Close()
			return
		}
	}
}

// pass hands bytes on, unless the link loses them. It tells false when the
// stream is over.
func (one *stream) pass(ctx context.Context, bytes []byte) bool {
	treatment, _ := one.network.treatment(one.link)
	if !wait(ctx, treatment.Delay) {
		return false
	}
	if one.network.loses(one, len(bytes)) {
		return true
	}
	if _, err := one.to.Write(bytes); err != nil {
		_ = one.from.Close()
		return false
	}
	return true
}

// awaitPassage returns when the link is not cut.
func (one *stream) awaitPassage(ctx context.Context) {
	for {
		treatment, changed := one.network.treatment(one.link)
		if !treatment.Blocked {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// close ends both directions; the network's lock is held.
func (one *stream) close() {
	one.closed = true
	_ = one.from.Close()
	_ = one.to.Close()
}

func wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
