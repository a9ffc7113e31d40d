package node

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// EndpointReader reads the platform's list of back ends. After an error the previous list
// stays in force. The node calls Read from one goroutine at a time.
type EndpointReader interface {
	Read(ctx context.Context) ([]control.ServiceEndpoints, error)
}

// ReplicaCommander requests reports from replicas and commands them to load weights. Its
// methods are called concurrently.
type ReplicaCommander interface {
	// LoadWeights sends a command and returns its outcome. The error, if any, says why
	// the command was not accepted, or may not have been accepted. Nothing may be sent
	// after the context has ended.
	LoadWeights(ctx context.Context, command control.Command) (control.CommandOutcome, error)
	// Report requests the report of a replica. The instance is the one that the list of
	// back ends names. Age in the result is how old the values may have been when the
	// request was sent; Address and MeasuredAt are left zero.
	Report(ctx context.Context, address, instance string) (control.ReplicaReport, error)
}

// Edges are the protocols between a node and external systems. Zero values select the
// product's own protocols.
type Edges struct {
	// Dataplane has the protocols for callers and back ends.
	Dataplane dataplane.Edges
	// LimitConnections, if set, is called once, before the node runs. Its argument
	// returns how many connections this node may have to a back end; 0 means no limit.
	LimitConnections func(limit func(address string) int)
	// Endpoints reads the platform's list of back ends.
	Endpoints EndpointReader
	// Replicas requests reports from replicas and commands them to load weights.
	Replicas ReplicaCommander
	// ReplicasFinishFirst means that a replica that is commanded to load weights finishes
	// its running requests first; see control.Config.
	ReplicasFinishFirst bool
	// Operator, if set, returns the handler for operators' calls and health checks. The
	// product's own queries are served in addition; see operator.WithQueries.
	Operator func(node *Node) http.Handler
	// ReadyAddress is an additional IP and port at which the handler for operators is
	// served; empty for none.
	ReadyAddress string
}
