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
	// DefaultIdleTimeout closes connections that have carried nothing lately.
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
	// Name is what go-zero registers the client under, which is shared by the process.
	Name string
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout closes connections that have carried nothing lately.
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one back end.
	IdlePerAddress int
}

// Client sends requests. It may be used by many goroutines.
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
	// httpc registers a breaker and writes a log line for every request.
	breaker.NoBreakerFor(options.Name)
	logx.SetLevel(logx.SevereLevel)
	limiter := newConnectionLimiter()
	transport := newTransport(options, limiter)
	client := &http.Client{Transport: transport, CheckRedirect: returnRedirect}
	return &Client{service: httpc.NewServiceWithClient(options.Name, client), transport: transport, limiter: limiter}
}

// newTransport returns a transport that changes nothing in what passes.
func newTransport(options Options, limiter *connectionLimiter) *http.Transport {
	return &http.Transport{
		DialContext:            dialer(options.DialTimeout, limiter),
		DisableCompression:     true,
		IdleConnTimeout:        options.IdleTimeout,
		MaxIdleConnsPerHost:    options.IdlePerAddress,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// returnRedirect hands a redirect on as the response that it is: following it
// would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Send sends a request with a body once. A returned error is an *Error. The
// caller closes the response's body; unless it was read to its end the
// connection is closed with it.
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

// Get fetches a URL that changes nothing at the other end.
func (c *Client) Get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, NotSent(err)
	}
	return c.Send(request, nil)
}

// LimitConnections bounds the connections to each back end by what limit returns
// for its address, 0 for any number. A request that finds all of them in use is not
// sent; the cause of its error is a *ConnectionLimitError.
func (c *Client) LimitConnections(limit func(address string) int) { c.limiter.setLimit(limit) }

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.transport.CloseIdleConnections()
}
