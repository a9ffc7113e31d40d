package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
)

// callTimeout bounds the duration of one call to one node.
const callTimeout = 8 * time.Second

// maxReplyBytes bounds the number of bytes that are read from the body of one response.
const maxReplyBytes = 32 << 20

// Client makes the remote calls of the schema. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that opens a new connection for each call, because
// net/http may silently resend a call on a reused connection.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Reply contains the status, the problem and the Retry-After header of a node's response.
type Reply struct {
	Status int
	// Problem is set for every status of 400 and above.
	Problem *ridgeswitchv1.Problem
	// RetryAfter is the time after which to retry; zero if the response has no valid
	// Retry-After header.
	RetryAfter time.Duration
}

// Call makes a remote call of the schema, such as "AddKey", at a control address
// and decodes the body into response if the status is below 400. It returns an error
// if the call is unknown or can't be built, if no complete response came, or if the body
// of a response below 400 can't be decoded.
func (client *Client) Call(ctx context.Context, address string, name protoreflect.Name, request, response proto.Message) (Reply, error) {
	call, err := findCall(name)
	if err != nil {
		return Reply{}, err
	}
	httpRequest, err := buildRequest(ctx, address, call, request)
	if err != nil {
		return Reply{}, err
	}
	answer, err := client.http.Do(httpRequest)
	if err != nil {
		return Reply{}, errors.Wrap(err, "send the call")
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, errors.Wrap(err, "read the response")
	}
	return readReply(answer, body, response)
}

// findCall returns a remote call of the schema by its name.
func findCall(name protoreflect.Name) (schema.Call, error) {
	calls, err := schema.Calls()
	if err != nil {
		return schema.Call{}, err
	}
	for _, call := range calls {
		if call.Method.Name() == name {
			return call, nil
		}
	}
	return schema.Call{}, errors.Errorf("the schema has no call %s", name)
}

func buildRequest(ctx context.Context, address string, call schema.Call, request proto.Message) (*http.Request, error) {
	url := "http://" + address + call.URLPath(request.ProtoReflect())
	if call.Binding.GetMethod() == http.MethodGet {
		built, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		return built, errors.Wrap(err, "build the call")
	}
	body, err := protojson.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode the call")
	}
	built, err := http.NewRequestWithContext(ctx, call.Binding.GetMethod(), url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the call")
	}
	built.Header.Set("Content-Type", "application/json")
	return built, nil
}

func readReply(httpResponse *http.Response, body []byte, response proto.Message) (Reply, error) {
	reply := Reply{Status: httpResponse.StatusCode}
	seconds, err := strconv.ParseUint(httpResponse.Header.Get("Retry-After"), 10, 16)
	if err == nil {
		reply.RetryAfter = time.Duration(seconds) * time.Second
	}
	if httpResponse.StatusCode < http.StatusBadRequest {
		return reply, errors.Wrap(protojson.Unmarshal(body, response), "decode the response")
	}
	reply.Problem = &ridgeswitchv1.Problem{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, reply.Problem); err != nil {
		reply.Problem = &ridgeswitchv1.Problem{Kind: "untyped", Message: string(body)}
	}
	return reply, nil
}
