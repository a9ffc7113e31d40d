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

// isTimeout reports whether an operation on a connection timed out. A refused connection
// is not a time-out: the peer's host responded.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// dialAttempts determines the time-out of the next attempt to connect to one peer, and
// the backoff before it, from the outcomes of earlier attempts.
type dialAttempts struct {
	options *Options
	// timeout bounds the next attempt.
	timeout time.Duration
	// timedOutFor is the sum of the time-outs of the attempts that timed out since
	// frames were last sent.
	timedOutFor time.Duration
	// backoff is the pause after the next failure.
	backoff time.Duration
}

func newDialAttempts(options *Options) *dialAttempts {
	attempts := &dialAttempts{options: options}
	attempts.succeeded()
	return attempts
}

// succeeded resets the time-out and the backoff.
func (d *dialAttempts) succeeded() {
	d.timeout = d.options.FirstDialTimeout
	d.timedOutFor = 0
	d.backoff = d.options.MinBackoff
}

// failed records a failed attempt and returns the backoff before the next one. The error
// is nil if the peer accepted the connection, but no frame was sent on it.
func (d *dialAttempts) failed(err error) time.Duration {
	if isTimeout(err) {
		d.timedOutFor += d.timeout
	}
	if d.timedOutFor >= d.options.DialTimeout {
		d.timeout = d.options.DialTimeout
	}
	delay := d.backoff
	d.backoff = min(2*d.backoff, d.options.MaxBackoff)
	return delay
}
