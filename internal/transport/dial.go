package transport

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// dialFunc opens a connection to an address within a time.
type dialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// dialWith dials over TCP.
func dialWith(dialer *net.Dialer) dialFunc {
	return func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dialer.DialContext(bounded, "tcp", address)
	}
}

// timedOut tells whether a peer gave no answer, be it a refusal.
func timedOut(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// connecting derives the time and the pauses of attempts to connect to one peer
// from how the earlier ones ended.
type connecting struct {
	options *Options
	timeout time.Duration
	// silent is how long the peer has given no answer.
	silent  time.Duration
	backoff time.Duration
}

func newConnecting(options *Options) *connecting {
	c := &connecting{options: options}
	c.succeeded()
	return c
}

// succeeded begins anew.
func (c *connecting) succeeded() {
	c.timeout = c.options.FirstDialTimeout
	c.silent = 0
	c.backoff = c.options.MinBackoff
}

// failed returns the pause before the next attempt.
func (c *connecting) failed(err error) time.Duration {
	if timedOut(err) {
		c.silent += c.timeout
	}
	if c.silent >= c.options.DialTimeout {
		c.timeout = c.options.DialTimeout
	}
	pause := c.backoff
	c.backoff = min(2*c.backoff, c.options.MaxBackoff)
	return pause
}
