package transport

import (
	"net"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/socket"
)

// MaxFrameBytes is the size above which a frame is neither sent nor accepted.
const MaxFrameBytes = 16 << 20

// The values of Options that are not set.
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

// Options bounds what a Transport uses. Zero values mean the defaults.
type Options struct {
	// MaxQueuedFrames and MaxQueuedBytes bound the queue of one peer.
	MaxQueuedFrames int
	MaxQueuedBytes  int
	// MaxConnections bounds the connections that others opened to this node.
	MaxConnections int
	// FirstDialTimeout is the time-out of the first attempts to connect. Once they
	// have timed out for DialTimeout together, that is the time-out of each further
	// one. The kernel retransmits a lost SYN only after a second, and a peer that
	// was down may be back before that.
	FirstDialTimeout time.Duration
	DialTimeout      time.Duration
	// WriteTimeout is how long one write, of a few small frames or one large
	// one, may take before the connection is closed, and how long bytes may
	// stay without the peer's acknowledgement.
	WriteTimeout time.Duration
	// FrameTimeout is how long a sender may take for the rest of a frame after its
	// first byte.
	FrameTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes on idle connections.
	KeepAlive time.Duration
	// IdleTimeout is how long a connection stays open on which nothing is sent. Each
	// node sends something to each other one now and then, and regularly only to a few.
	IdleTimeout time.Duration
	// MinBackoff doubles with each failure to connect up to MaxBackoff.
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

// newDialer returns a dialer whose connections come from the IP that the node
// listens on, so that receivers and faults between machines can tell nodes
// apart by source address.
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
