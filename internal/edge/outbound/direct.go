package outbound

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/socket"
)

// Defaults of DirectOptions.
const (
	// DefaultDirectDialTimeout bounds the time to connect.
	DefaultDirectDialTimeout = 300 * time.Millisecond
	// DefaultDirectIdleTimeout ends the reuse of connections that have carried
	// nothing lately.
	DefaultDirectIdleTimeout = 3 * time.Second
	// DefaultAckTimeout is how long sent bytes, or probes of a connection
	// that waits, may stay without the other machine's acknowledgement.
	DefaultAckTimeout = 3 * time.Second
	// probeInterval is the interval of probes on a connection that waits.
	probeInterval = time.Second
)

// Bounds of what is read before the awaited response.
const (
	// maxInterim bounds the interim responses before a response.
	maxInterim = 8
	// maxSurplus bounds the responses to other requests before it, and
	// maxSurplusBytes the body of one.
	maxSurplus      = 2
	maxSurplusBytes = 1 << 20
)

// DirectOptions set up a Direct. Zero values mean the defaults.
type DirectOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout ends the reuse of connections that have carried nothing lately;
	// a back end may name a shorter time.
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one back end.
	IdlePerAddress int
	// AckTimeout is how long sent bytes may stay without the other machine's
	// acknowledgement, as when it has lost power. Then the connection fails.
	AckTimeout time.Duration
	// Matches reports whether a response is that of the request. One that is not is
	// a surplus response to an earlier request and is discarded. Nil accepts every
	// response.
	Matches func(request *http.Request, response *http.Response) bool
}

// Direct sends requests on connections of its own, in place of net/http's
// transport. It uses no goroutines of its own while a request runs, knows for
// certain whether a byte has left, looks at an idle connection before it uses it
// again, keeps none on which anything came behind a response, and keeps each no
// longer than the back end said. It may be used by many goroutines.
type Direct struct {
	options DirectOptions
	dialer  net.Dialer
	idle    *idleConnections
	limiter *connectionLimiter
}

// NewDirect returns a client without connections.
func NewDirect(options DirectOptions) *Direct {
	options.DialTimeout = cmp.Or(options.DialTimeout, DefaultDirectDialTimeout)
	options.IdleTimeout = cmp.Or(options.IdleTimeout, DefaultDirectIdleTimeout)
	options.IdlePerAddress = cmp.Or(options.IdlePerAddress, DefaultIdlePerAddress)
	options.AckTimeout = cmp.Or(options.AckTimeout, DefaultAckTimeout)
	return &Direct{
		options: options,
		idle:    newIdleConnections(options.IdlePerAddress),
		limiter: newConnectionLimiter(),
		dialer: net.Dialer{
			Timeout: options.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     probeInterval,
				Interval: probeInterval,
				Count:    max(int(options.AckTimeout/probeInterval), 1),
			},
			Control: socket.UserTimeout(options.AckTimeout),
		},
	}
}

// Send sends a request with a body once. A returned error is an *Error. The
// caller closes the response's body; unless it was read to its end the connection
// is closed with it. The request's context ends the connection, until the body
// has ended.
func (d *Direct) Send(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	if err := checkHeader(request.Header); err != nil {
		return nil, NotSent(err)
	}
	connection, err := d.connect(ctx, request.URL.Host)
	if err != nil {
		return nil, NotSent(err)
	}
	sent := &exchange{connection: connection, request: request, options: &d.options, idle: d.idle}
	sent.stop = context.AfterFunc(ctx, connection.close)
	response, err := sent.run(body)
	if err != nil {
		sent.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{MayHaveBeenSent: connection.written > 0, cause: errors.WithStack(err)}
	}
	return response, nil
}

// checkHeader refuses values that would end their line.
func checkHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return errors.Errorf("header %s holds a line break: take it out", name)
			}
		}
	}
	return nil
}

// LimitConnections bounds the connections to each back end by what limit returns
// for its address, 0 for any number. A request that finds all of them in use is not
// sent; the cause of its error is a *ConnectionLimitError.
func (d *Direct) LimitConnections(limit func(address string) int) { d.limiter.setLimit(limit) }

// CloseIdle closes the connections that carry no request.
func (d *Direct) CloseIdle() { d.idle.closeAll() }

// connect returns an idle connection that is as it was left, or a new one.
func (d *Direct) connect(ctx context.Context, address string) (*directConnection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		idle := d.idle.take(address)
		if idle == nil {
			break
		}
		if idle.isIdle() {
			idle.written = 0
			return idle, nil
		}
		idle.close()
	}
	if err := d.limiter.reserve(address); err != nil {
		return nil, err
	}
	dialled, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		d.limiter.release(address)
		return nil, err
	}
	return newDirectConnection(address, dialled, d.limiter), nil
}
