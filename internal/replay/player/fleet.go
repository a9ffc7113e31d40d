package player

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

const (
	// dialTimeout bounds the wait for a connection.
	dialTimeout = time.Second
	// idleTimeout closes unused connections before the node does.
	idleTimeout = 30 * time.Second
	// responseGrace is how much longer than its deadline a request is waited for,
	// so that the node's own answer is heard.
	responseGrace = 5 * time.Second
	// responseTimeout bounds a request without a deadline.
	responseTimeout = 2 * time.Minute
	// requestBody stands for the prompt, which a recording does not hold.
	requestBody = "replayed request"
)

// Kinds of problems that no node names, but the replay.
const (
	// problemUnreachable is a fleet of which no node takes a connection.
	problemUnreachable = "unreachable"
	// problemUntyped is an error whose body is not that of a node.
	problemUntyped = "untyped"
)

// Key proves that requests are a tenant's.
type Key struct {
	Tenant string
	Secret string
}

// Fleet sends requests to running nodes in turn. It is safe for concurrent use.
type Fleet struct {
	nodes []string
	// keys are the secrets of the tenants' keys, by tenant.
	keys   map[string]string
	client *http.Client
	// run makes the identities of its requests differ from other replays'.
	run string
	// turn counts the nodes that were asked.
	turn atomic.Uint64
}

// NewFleet returns a sender to nodes by their traffic addresses, which must lie
// in 127.0.0.0/8: see AddressError.
func NewFleet(nodes []string, keys []Key, maxInFlight int) (*Fleet, error) {
	if len(nodes) == 0 {
		return nil, errors.New("no node is given: name one with --node, or replay on the emulator")
	}
	for _, node := range nodes {
		if err := checkAddress(node); err != nil {
			return nil, err
		}
	}
	fleet := &Fleet{nodes: nodes, keys: map[string]string{}, run: strconv.FormatInt(time.Now().UnixNano(), 36)}
	for _, key := range keys {
		fleet.keys[key.Tenant] = key.Secret
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	fleet.client = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxInFlight,
		DisableCompression:  true,
	}}
	return fleet, nil
}

// Close ends unused connections.
func (f *Fleet) Close() { f.client.CloseIdleConnections() }

// Knows implements Sender. The public needs no key.
func (f *Fleet) Knows(tenant string) bool {
	return tenant == "" || f.keys[tenant] != ""
}

// Send implements Sender. A node that takes no connection was not sent
// anything, so that the next one is asked.
func (f *Fleet) Send(ctx context.Context, attempt Attempt) Result {
	timeout := responseTimeout
	if attempt.Record.DeadlineMS > 0 {
		timeout = time.Duration(attempt.Record.DeadlineMS)*time.Millisecond + responseGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	for range f.nodes {
		node := f.nodes[f.turn.Add(1)%uint64(len(f.nodes))]
		response, err := f.client.Do(f.request(ctx, node, attempt)) //nolint:bodyclose // readResponse closes it
		if err == nil {
			return readResponse(response, began)
		}
		if !isDialError(err) {
			return Result{Outcome: recording.Truncated}
		}
	}
	return Result{Outcome: recording.Refused, Problem: problemUnreachable}
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// request builds the HTTP request. Everything that could make it fail was
// checked when the recording was read.
func (f *Fleet) request(ctx context.Context, node string, attempt Attempt) *http.Request {
	record := attempt.Record
	method, path := http.MethodPost, replica.PathGenerate
	var body io.Reader = strings.NewReader(requestBody)
	if record.Pool == "" {
		method, path, body = http.MethodGet, "/", http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, body)
	if err != nil {
		panic(err)
	}
	request.Host = record.Host
	header := request.Header
	header.Set(caller.HeaderRequestID, fmt.Sprintf("replay-%s-%d-%d", f.run, attempt.Number, attempt.Retry))
	header.Set(caller.HeaderRepeatable, strconv.FormatBool(record.Repeatable))
	setIfAny(header, caller.HeaderModel, record.Model)
	setIfAny(header, caller.HeaderPrefix, caller.FormatPrefix(record.Prompt()))
	setNumber(header, caller.HeaderOutputTokens, int64(record.OutputTokens))
	setNumber(header, caller.HeaderDeadline, record.DeadlineMS)
	if record.Streamed {
		header.Set(caller.HeaderAccept, caller.StreamType)
	}
	if secret := f.keys[record.Tenant]; record.Tenant != "" {
		header.Set(caller.HeaderAuthorization, "Bearer "+secret)
	}
	return request
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func setNumber(header http.Header, name string, value int64) {
	if value > 0 {
		header.Set(name, strconv.FormatInt(value, 10))
	}
}
