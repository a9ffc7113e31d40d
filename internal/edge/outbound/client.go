package outbound

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Defaults of Options.
const (
	// DefaultDialTimeout bounds the time to connect.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultIdlePerAddress bounds the idle connections to one back end.
	DefaultIdlePerAddress = 64
	// keepAlivePeriod is the period of TCP keep-alive probes.
	keepAlivePeriod = 5 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 256 << 10
)

// Options set up a Client. Zero values mean the defaults.
type Options struct {
	// Name identifies the client in go-zero's registries, which the whole process shares.
	Name string
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one back end.
	IdlePerAddress int
}

// Client sends requests through net/http. It may be used concurrently.
type Client struct {
	service   httpc.Service
	transport *http.Transport
	limiter   *connectionLimiter
}

// New returns a client.
func New(options Options) *Client {
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.IdlePerAddress <= 0 {
		options.IdlePerAddress = DefaultIdlePerAddress
	}
	// httpc runs every request through a circuit breaker and logs it. Both are disabled; the
	// log level applies to the whole process.
	breaker.NoBreakerFor(options.Name)
	logx.SetLevel(logx.SevereLevel)
	limiter := newConnectionLimiter()
	transport := newTransport(options, limiter)
	client := &http.Client{Transport: transport, CheckRedirect: returnRedirect}
	return &Client{service: httpc.NewServiceWithClient(options.Name, client), transport: transport, limiter: limiter}
}

// newTransport returns a transport that does not request or undo compression.
func newTransport(options Options, limiter *connectionLimiter) *http.Transport {
	return &http.Transport{
		DialContext:            dialer(options.DialTimeout, limiter),
		DisableCompression:     true,
		IdleConnTimeout:        options.IdleTimeout,
		MaxIdleConnsPerHost:    options.IdlePerAddress,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// returnRedirect makes the client return a redirect as the response, since following it
// would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Send sends a request with a body at most once. A returned error is an *Error. The caller
// closes the response's body; if the body was not read to its end, the connection is closed
// with it.
func (c *Client) Send(request *http.Request, body []byte) (*http.Response, error) {
	used := &connectionTrace{}
	trace := &httptrace.ClientTrace{GotConn: used.add}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	preventRetries(request, body)
	response, err := c.service.DoRequest(request)
	if err != nil {
		return nil, &Error{MayHaveBeenSent: used.seal(), cause: errors.WithStack(err)}
	}
	return response, nil
}

// Get sends a GET request, whose URL must have no side effects at the server, as Send does.
func (c *Client) Get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, NotSent(err)
	}
	return c.Send(request, nil)
}

// LimitConnections limits the connections to each back end to the number that limit returns
// for its address; 0 means no limit. A request for which all of them are in use is not sent;
// the cause of its error is a *ConnectionLimitError.
func (c *Client) LimitConnections(limit func(address string) int) { c.limiter.setLimit(limit) }

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}
