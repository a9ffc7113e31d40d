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

// isTimeout tells whether a peer gave no answer, be it a refusal.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// dialAttempts derives the time and the pauses of attempts to connect to one peer
// from how the earlier ones ended.
type dialAttempts struct {
	options *Options
	timeout time.Duration
	// timedOutFor is how long the peer has given no answer.
	timedOutFor time.Duration
	backoff     time.Duration
}

func newDialAttempts(options *Options) *dialAttempts {
	c := &dialAttempts{options: options}
	c.succeeded()
	return c
}

// succeeded begins anew.
func (c *dialAttempts) succeeded() {
	c.timeout = c.options.FirstDialTimeout
	c.timedOutFor = 0
	c.backoff = c.options.MinBackoff
}

// failed returns the pause before the next attempt.
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
