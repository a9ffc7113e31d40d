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
	// DefaultDirectIdleTimeout is the time after which an idle connection is not
	// reused.
	DefaultDirectIdleTimeout = 3 * time.Second
	// DefaultAckTimeout is how long sent bytes, or TCP keep-alive probes, may remain
	// unacknowledged by the peer.
	DefaultAckTimeout = 3 * time.Second
	// probeInterval is the interval of TCP keep-alive probes on a silent connection.
	probeInterval = time.Second
)

// Limits on what is read before the response to a request.
const (
	// maxInterim bounds the responses that are read for one request: interim (1xx)
	// responses, responses to other requests, and its own.
	maxInterim = 8
	// maxSurplus bounds the responses to other requests that are discarded, and
	// maxSurplusBytes the body of each.
	maxSurplus      = 2
	maxSurplusBytes = 1 << 20
)

// DirectOptions set up a Direct. Zero values mean the defaults.
type DirectOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is not reused. The Keep-Alive
	// header of a response may shorten it.
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one back end.
	IdlePerAddress int
	// AckTimeout is how long sent bytes may remain unacknowledged by the peer, as when its
	// machine has lost power. After that the connection fails.
	AckTimeout time.Duration
	// Matches reports whether a response is that of the request. A response that does not
	// match is taken for a surplus response to an earlier request and is discarded. Nil
	// accepts every response.
	Matches func(request *http.Request, response *http.Response) bool
}

// Direct sends requests on connections that it manages itself, in place of net/http's
// transport. It starts a goroutine for a request only to write a long body, and knows for
// certain whether the kernel has accepted any byte of a request. It checks an idle connection
// before reusing it, reuses none on which bytes followed a response, and keeps none idle for
// longer than the back end permits. It may be used concurrently.
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

// Send sends a request with a body at most once. A returned error is an *Error. The caller
// closes the response's body, which also closes the connection unless the body was read to
// its end or has arrived completely. If the request's context ends before the body does, the
// connection is closed.
func (d *Direct) Send(request *http.Request, body []byte) (*http.Response, error) {
	ctx := request.Context()
	if err := checkHeader(request.Header); err != nil {
		return nil, NotSent(err)
	}
	connection, err := d.connect(ctx, request.URL.Host)
	if err != nil {
		return nil, NotSent(err)
	}
	if err := checkSendBy(ctx); err != nil {
		connection.close()
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

// checkHeader rejects values with characters that end a header line or are invalid in it.
func checkHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return errors.Errorf("header %s contains a line break or a NUL character; remove it", name)
			}
		}
	}
	return nil
}

// LimitConnections limits the connections to each back end to the number that limit returns
// for its address; 0 means no limit. A request for which all of them are in use is not sent;
// the cause of its error is a *ConnectionLimitError.
func (d *Direct) LimitConnections(limit func(address string) int) { d.limiter.setLimit(limit) }

// CloseIdle closes the idle connections.
func (d *Direct) CloseIdle() { d.idle.closeAll() }

// connect returns an idle connection that is still open and has received nothing since its
// last response, or a new connection.
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
