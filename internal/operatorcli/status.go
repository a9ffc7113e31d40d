package operatorcli

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
)

const (
	// flagAll is the flag with which status queries every live member.
	flagAll = "all"
	// statusCall is the call whose table begins with a summary.
	statusCall protoreflect.Name = "GetStatus"

	// maxConcurrentQueries bounds the number of concurrent calls.
	maxConcurrentQueries = 32
	// queryTimeout bounds the query of one member, so that a node that hangs delays the
	// summary by no more than this.
	queryTimeout = 3 * time.Second
)

// isStatus reports whether a call is the one that runStatus implements.
func isStatus(call schema.Call) bool {
	return call.Method.Name() == statusCall
}

// statusFlags returns the flags that only the verb status has.
func statusFlags() []cli.Flag {
	return []cli.Flag{&cli.BoolFlag{
		Name:  flagAll,
		Usage: "ask every live member too, and compare what they serve; needs --output table",
	}}
}

// runStatus prints the status as JSON, or as a summary followed by tables.
func runStatus(ctx context.Context, command *cli.Command, call schema.Call) error {
	if command.String(flagOutput) != outputTable {
		if command.Bool(flagAll) {
			return usageError("--" + flagAll + " needs --" + flagOutput + " " + outputTable)
		}
		return runVerb(ctx, command, call)
	}
	if command.Args().Present() {
		return usageError("unexpected argument " + command.Args().First() + "; give flags alone")
	}
	printer, err := newPrinter(command, call.Method.Output())
	if err != nil {
		return err
	}
	queries := &queryClient{client: newClient(command.StringSlice(flagNode), command.Duration(flagTimeout))}
	status := &ridgeswitchv1.NodeStatus{}
	body, err := queries.call(ctx, statusCall, &ridgeswitchv1.GetStatusRequest{}, status)
	if err != nil {
		return err
	}
	summary := &statusSummary{status: status, allNodes: command.Bool(flagAll)}
	if summary.allNodes {
		summary.responses = queries.queryMembers(ctx, call, status)
	}
	summary.weights, summary.weightsError = queries.queryWeights(ctx)
	if err := summary.print(printer.out); err != nil {
		return err
	}
	return printer.print(body)
}

// queryClient sends the read-only calls that the verb status makes. It is safe for concurrent
// use.
type queryClient struct {
	client *client
}

// call sends a call to the nodes of --node in turn, parses the response into response, and
// returns its body.
func (q *queryClient) call(ctx context.Context, name protoreflect.Name, request, response proto.Message) ([]byte, error) {
	call := lo.FindOrElse(lo.Must(schema.Calls()), schema.Call{}, func(call schema.Call) bool {
		return call.Method.Name() == name
	})
	reply, err := q.client.send(ctx, call, request.ProtoReflect())
	if err != nil {
		return nil, err
	}
	return reply.body, parseResponse(reply.body, response)
}

// parseResponse parses a response. It ignores unknown fields, which a node of a newer release
// may send.
func parseResponse(body []byte, response proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, response); err != nil {
		return &ExitError{Code: ExitRefused, Message: "the node's answer does not fit the schema; use --output json: " + err.Error()}
	}
	return nil
}

// queryMembers reads the status of every live member in a node's table of members,
// maxConcurrentQueries at a time. The responses are in the order of the table.
func (q *queryClient) queryMembers(ctx context.Context, call schema.Call, table *ridgeswitchv1.NodeStatus) []nodeResponse {
	live := lo.Filter(table.GetMembers(), func(member *ridgeswitchv1.MemberStatus, _ int) bool { return isLive(member) })
	responses := make([]nodeResponse, len(live))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for position, member := range live {
		group.Go(func() error {
			status, err := q.queryMember(ctx, call, member)
			responses[position] = nodeResponse{member: member, status: status, err: err}
			return nil
		})
	}
	_ = group.Wait()
	return responses
}

// queryMember reads the status of one member from that member.
func (q *queryClient) queryMember(ctx context.Context, call schema.Call, member *ridgeswitchv1.MemberStatus) (*ridgeswitchv1.NodeStatus, error) {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request := (&ridgeswitchv1.GetStatusRequest{}).ProtoReflect()
	reply, err := q.client.sendTo(bounded, member.GetControlAddress(), call, request)
	if err != nil {
		return nil, err
	}
	if _, err := checkResponse(member.GetControlAddress(), reply); err != nil {
		return nil, err
	}
	status := &ridgeswitchv1.NodeStatus{}
	return status, parseResponse(reply.body, status)
}

// queryWeights reads the state of the roll-out of every pool in the configuration.
func (q *queryClient) queryWeights(ctx context.Context) ([]*ridgeswitchv1.WeightsStatus, error) {
	configuration := &ridgeswitchv1.Configuration{}
	if _, err := q.call(ctx, "GetConfiguration", &ridgeswitchv1.GetConfigurationRequest{Local: true}, configuration); err != nil {
		return nil, err
	}
	pools := configuration.GetPools()
	weights := make([]*ridgeswitchv1.WeightsStatus, len(pools))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for position, pool := range pools {
		group.Go(func() error {
			weights[position] = &ridgeswitchv1.WeightsStatus{}
			_, err := q.call(ctx, "GetWeights", &ridgeswitchv1.GetWeightsRequest{Pool: pool.GetName()}, weights[position])
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return weights, nil
}
