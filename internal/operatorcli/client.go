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
	// serviceName names the nodes to go-zero.
	serviceName = "ridgeswitch-control"
	// dialTimeout bounds the wait for a connection, so that a machine that is
	// gone is passed over soon.
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds what is read of a response: a configuration of the
	// largest size, with the fields that the system adds.
	maxResponseBytes = 2 * dynamic.MaxDocumentBytes
)

// client sends calls to nodes in turn, until one has a final response. It is safe for
// concurrent use.
type client struct {
	// nodes are control addresses, in the order of the attempts.
	nodes   []string
	service httpc.Service
}

// nodeReply is the response of a node to a call.
type nodeReply struct {
	status int
	body   []byte
}

// pending reports whether an order waits for its confirmation.
func (r nodeReply) pending() bool {
	return r.status == http.StatusAccepted
}

// final reports whether another node could not give a better response.
func (r nodeReply) final() bool {
	return !r.pending() && r.status < http.StatusInternalServerError
}

// newClient builds a client without the breaker and the per-request log of
// go-zero, which both report a node that is down: here that is expected. The time-out
// bounds the call to one node.
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

// send sends the identical call to one node after the other until one has a final
// response, and returns a pending one only if there is none. A rejection, and the lack of
// any response, are an *ExitError.
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

// unansweredError returns the error for a call to which no node gave a final response.
func unansweredError(call schema.Call, failures []string) error {
	message := "no node answered: " + strings.Join(failures, "; ")
	if isOrder(call.Method.Input()) {
		message += "; the order may take effect: resend it with the same --order-id"
	}
	return &ExitError{Code: ExitUnanswered, Message: message}
}

// checkResponse turns a final response that is no success into a refusal.
func checkResponse(node string, reply nodeReply) (nodeReply, error) {
	if reply.status == http.StatusOK {
		return reply, nil
	}
	return nodeReply{}, &ExitError{Code: ExitRefused, Message: fmt.Sprintf("%s: %s", node, describe(reply))}
}

// describe returns the problem that a response carries as text, or its HTTP status.
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

// newHTTPRequest puts the request into the body as JSON, or into the query for GET and
// DELETE, which have no body by custom.
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

// queryOf gives the plain fields that are not in the path, and those of the
// order header, as query parameters.
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
