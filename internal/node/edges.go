package node

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// EndpointReader reads the platform's list of back ends. After an error the last list
// stays in force. The node makes one call of Read at a time.
type EndpointReader interface {
	Read(ctx context.Context) ([]control.ServiceEndpoints, error)
}

// ReplicaCommander requests reports of replicas and commands them to load weights. It is
// called by many goroutines.
type ReplicaCommander interface {
	// LoadWeights sends a command and returns its outcome. The error, if any, says why
	// the command was not accepted, or may not have been. Nothing may be sent after the
	// context has ended.
	LoadWeights(ctx context.Context, command control.Command) (control.CommandOutcome, error)
	// Report requests the report of a replica, in the incarnation that the list names.
	// Age of the result is how old its figures may have been when the request was sent;
	// Address and MeasuredAt are left zero.
	Report(ctx context.Context, address, instance string) (control.ReplicaReport, error)
}

// Edges are the protocols between a node and the world outside. Zero values mean the
// product's own protocols.
type Edges struct {
	// Dataplane speaks to callers and back ends.
	Dataplane dataplane.Edges
	// LimitConnections, if set, is called once, before the node runs. Its argument
	// returns how many connections this node may have to a back end, 0 for any number.
	LimitConnections func(limit func(address string) int)
	// Endpoints reads the platform's list of back ends.
	Endpoints EndpointReader
	// Replicas speaks to replicas about their weights.
	Replicas ReplicaCommander
	// ReplicasFinishFirst means that replicas finish their requests by themselves before
	// they load weights; see control.Config.
	ReplicasFinishFirst bool
	// Operator returns the handler of operators' calls and health checks. The product's
	// own queries are served beside it; see operator.WithQueries.
	Operator func(node *Node) http.Handler
	// ReadyAddress is a further IP and port at which Operator's handler is
	// served; empty for none.
	ReadyAddress string
}
