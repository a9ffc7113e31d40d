package operatorcli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	// serviceName is the name that go-zero's HTTP client and breaker use for the nodes.
	serviceName = "ridgeswitch-control"
	// dialTimeout bounds the wait for a connection, so that the next node is tried soon
	// if a machine is down.
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds the bytes that are read of a response. The largest response
	// is a configuration of the largest size with the fields that the system adds.
	maxResponseBytes = 2 * dynamic.MaxDocumentBytes
)

// client sends a call to one node after the other until one gives a final response. It is
// safe for concurrent use.
type client struct {
	// nodes contains the control addresses in the order in which they are tried.
	nodes   []string
	service httpc.Service
}

// nodeReply is the response of a node to a call.
type nodeReply struct {
	status int
	body   []byte
}

// pending reports whether the response says that an order is not confirmed yet.
func (r nodeReply) pending() bool {
	return r.status == http.StatusAccepted
}

// final reports whether the response is final, so that no other node needs to be tried: it is
// neither pending nor a server error.
func (r nodeReply) final() bool {
	return !r.pending() && r.status < http.StatusInternalServerError
}

// newClient returns a client. The breaker and the log of go-zero are switched off: both
// report a node that is down, which is an expected condition here. The time-out bounds the
// call to one node.
func newClient(nodes []string, timeout time.Duration) *client {
	logx.Disable()
	breaker.NoBreakerFor(serviceName)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &client{
		nodes:   nodes,
		service: httpc.NewServiceWithClient(serviceName, &http.Client{Timeout: timeout, Transport: transport}),
	}
}

// send sends the identical call to one node after the other until one gives a final
// response. It returns a pending response only if no node gave a final one. The error is
// always an *ExitError: a node refused the call, or no node gave a final or pending response.
func (c *client) send(ctx context.Context, call schema.Call, request protoreflect.Message) (nodeReply, error) {
	var failures []string
	var pending *nodeReply
	for _, node := range c.nodes {
		reply, err := c.sendTo(ctx, node, call, request)
		switch {
		case err != nil:
			failures = append(failures, fmt.Sprintf("%s: %v", node, err))
		case reply.pending():
			pending = &reply
		case reply.final():
			return checkResponse(node, reply)
		default:
			failures = append(failures, fmt.Sprintf("%s: %s", node, describe(reply)))
		}
	}
	if pending != nil {
		return *pending, nil
	}
	return nodeReply{}, unansweredError(call, failures)
}

// unansweredError returns the error for a call to which no node gave a final or pending
// response.
func unansweredError(call schema.Call, failures []string) error {
	message := "no node answered: " + strings.Join(failures, "; ")
	if isOrder(call.Method.Input()) {
		message += "; the order may take effect: resend it with the same --order-id"
	}
	return &ExitError{Code: ExitUnanswered, Message: message}
}

// checkResponse returns the response if its status is 200, and otherwise an *ExitError with
// the code ExitRefused.
func checkResponse(node string, reply nodeReply) (nodeReply, error) {
	if reply.status == http.StatusOK {
		return reply, nil
	}
	return nodeReply{}, &ExitError{Code: ExitRefused, Message: fmt.Sprintf("%s: %s", node, describe(reply))}
}

// describe returns the Problem in a response as text, or the HTTP status if there is none.
func describe(reply nodeReply) string {
	problem := &ridgeswitchv1.Problem{}
	if err := protojson.Unmarshal(reply.body, problem); err != nil || problem.GetKind() == "" {
		return fmt.Sprintf("HTTP status %d", reply.status)
	}
	text := problem.GetKind() + ": "
	if problem.GetField() != "" {
		text += problem.GetField() + ": "
	}
	text += problem.GetMessage()
	if problem.GetRevision() != 0 {
		text += fmt.Sprintf(" (revision in force: %d)", problem.GetRevision())
	}
	return text
}

// sendTo sends a call to one node.
func (c *client) sendTo(ctx context.Context, node string, call schema.Call, request protoreflect.Message) (nodeReply, error) {
	outgoing, err := newHTTPRequest(ctx, node, call, request)
	if err != nil {
		return nodeReply{}, err
	}
	response, err := c.service.DoRequest(outgoing)
	if err != nil {
		return nodeReply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nodeReply{}, errors.Wrap(err, "answer cut short")
	}
	if len(body) > maxResponseBytes {
		return nodeReply{}, errors.Errorf("answer above %d bytes", maxResponseBytes)
	}
	return nodeReply{status: response.StatusCode, body: body}, nil
}

// newHTTPRequest encodes the request as a JSON body, or as a query for GET and DELETE, which
// have no body by convention.
func newHTTPRequest(ctx context.Context, node string, call schema.Call, request protoreflect.Message) (*http.Request, error) {
	method := call.Binding.GetMethod()
	target := "http://" + node + call.URLPath(request)
	if method == http.MethodGet || method == http.MethodDelete {
		if query := queryOf(call, request); query != "" {
			target += "?" + query
		}
		return http.NewRequestWithContext(ctx, method, target, nil)
	}
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(request.Interface())
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	outgoing, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	outgoing.Header.Set("Content-Type", "application/json")
	return outgoing, nil
}

// queryOf returns the query parameters of a call: the fields of the request and of the
// messages nested in it, such as the order header, that are set and not part of the URL path.
func queryOf(call schema.Call, request protoreflect.Message) string {
	query := url.Values{}
	for _, field := range flagFields(call.Method.Input()) {
		if isSegment(call, field) {
			continue
		}
		message := request
		for _, parent := range field.path[:len(field.path)-1] {
			message = message.Get(parent).Message()
		}
		if message.Has(field.last()) {
			query.Set(string(field.last().Name()), message.Get(field.last()).String())
		}
	}
	return query.Encode()
}
