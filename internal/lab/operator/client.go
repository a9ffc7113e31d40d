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

// callTimeout bounds one call to one node.
const callTimeout = 8 * time.Second

// maxReplyBytes bounds what is read of one reply.
const maxReplyBytes = 32 << 20

// Client makes the remote calls of the schema. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client. It opens a connection for each call, so that no
// call is sent twice unnoticed.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Reply is what a node answered.
type Reply struct {
	Status int
	// Problem is set for every status of 400 and above.
	Problem *ridgeswitchv1.Problem
	// RetryAfter is when to come back; zero if the node did not say.
	RetryAfter time.Duration
}

// Call makes a remote call of the schema, such as "AddKey", at a control address
// and reads the answer into response. An error means that no answer came.
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
		return Reply{}, errors.Wrap(err, "read the answer")
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
		return reply, errors.Wrap(protojson.Unmarshal(body, response), "read the answer")
	}
	reply.Problem = &ridgeswitchv1.Problem{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, reply.Problem); err != nil {
		reply.Problem = &ridgeswitchv1.Problem{Kind: "untyped", Message: string(body)}
	}
	return reply, nil
}
