package transport

import (
	"net"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/socket"
)

// MaxFrameBytes is the size above which a frame is neither sent nor accepted.
const MaxFrameBytes = 16 << 20

// The defaults of the fields of Options.
const (
	DefaultMaxQueuedFrames  = 4096
	DefaultMaxQueuedBytes   = 32 << 20
	DefaultMaxConnections   = 4096
	DefaultFirstDialTimeout = 200 * time.Millisecond
	DefaultDialTimeout      = time.Second
	DefaultWriteTimeout     = 2 * time.Second
	DefaultFrameTimeout     = 5 * time.Second
	DefaultKeepAlive        = 2 * time.Second
	DefaultIdleTimeout      = 5 * time.Second
	DefaultMinBackoff       = 20 * time.Millisecond
	DefaultMaxBackoff       = 500 * time.Millisecond
)

// keepAliveProbes is how many unanswered keep-alive probes end a connection.
const keepAliveProbes = 3

// Options contains the limits and time-outs of a Transport. A value that is not positive
// means the default.
type Options struct {
	// MaxQueuedFrames and MaxQueuedBytes bound the queue of one peer.
	MaxQueuedFrames int
	MaxQueuedBytes  int
	// MaxConnections bounds the connections that other nodes opened to this node.
	MaxConnections int
	// FirstDialTimeout is the time-out of the first attempts to connect. Once the
	// time-outs of those that timed out add up to DialTimeout, each further attempt
	// has the time-out DialTimeout. The first attempts are short because the kernel
	// retransmits a lost SYN only after a second, and a peer that was down may be
	// back before that.
	FirstDialTimeout time.Duration
	DialTimeout      time.Duration
	// WriteTimeout is how long one write, of a batch of small frames or one large
	// frame, may take before the connection is closed, and how long sent bytes may
	// stay unacknowledged by the peer (TCP_USER_TIMEOUT).
	WriteTimeout time.Duration
	// FrameTimeout is how long a sender may take for the rest of a frame after its
	// first byte.
	FrameTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes on idle connections.
	KeepAlive time.Duration
	// IdleTimeout is how long a connection stays open while nothing is sent on it. A
	// node sends frames to every other node occasionally, but regularly only to a few.
	IdleTimeout time.Duration
	// MinBackoff is the pause after the first failure to connect. The pause doubles
	// with each further failure, up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxQueuedFrames, DefaultMaxQueuedFrames)
	setDefault(&o.MaxQueuedBytes, DefaultMaxQueuedBytes)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.FirstDialTimeout, min(DefaultFirstDialTimeout, o.DialTimeout))
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.FrameTimeout, DefaultFrameTimeout)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	return o
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

func (o Options) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: keepAliveProbes}
}

// newDialer returns a dialer whose connections have as their source the IP that the node
// listens on, unless that is unspecified, so that receivers and injected network faults
// can distinguish nodes by source address.
func newDialer(listenAddress net.Addr, options Options) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:         options.DialTimeout,
		KeepAliveConfig: options.keepAlive(),
		Control:         socket.UserTimeout(options.WriteTimeout),
	}
	if local, ok := listenAddress.(*net.TCPAddr); ok && !local.IP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.IP, Zone: local.Zone}
	}
	return dialer
}
