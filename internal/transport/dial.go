package transport

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// dialFunc opens a connection to an address within a time-out.
type dialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

// dialWith dials over TCP.
func dialWith(dialer *net.Dialer) dialFunc {
	return func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dialer.DialContext(bounded, "tcp", address)
	}
}

// isTimeout reports whether a peer did not respond at all. A refused connection is a
// response.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// dialAttempts determines the time-out of the next attempt to connect to one peer, and
// the backoff before it, from the outcomes of earlier attempts.
type dialAttempts struct {
	options *Options
	timeout time.Duration
	// timedOutFor is the sum of the time-outs since the peer last responded.
	timedOutFor time.Duration
	backoff     time.Duration
}

func newDialAttempts(options *Options) *dialAttempts {
	c := &dialAttempts{options: options}
	c.succeeded()
	return c
}

// succeeded resets the time-out and the backoff.
func (c *dialAttempts) succeeded() {
	c.timeout = c.options.FirstDialTimeout
	c.timedOutFor = 0
	c.backoff = c.options.MinBackoff
}

// failed returns the backoff before the next attempt.
func (c *dialAttempts) failed(err error) time.Duration {
	if isTimeout(err) {
		c.timedOutFor += c.timeout
	}
	if c.timedOutFor >= c.options.DialTimeout {
		c.timeout = c.options.DialTimeout
	}
	delay := c.backoff
	c.backoff = min(2*c.backoff, c.options.MaxBackoff)
	return delay
}
