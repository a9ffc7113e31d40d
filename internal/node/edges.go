package node

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// EndpointReader reads the platform's list of back ends. An error
// leaves the last list in force.
type EndpointReader interface {
	Read(ctx context.Context) ([]control.ServiceEndpoints, error)
}

// ReplicaCommander requests reports of replicas and commands them to load weights.
type ReplicaCommander interface {
	// LoadWeights sends a command and tells what came of it. The error, if any,
	// says why it was not taken, or may not have been. Nothing may be sent after
	// the context has ended.
	LoadWeights(ctx context.Context, command control.Command) (control.CommandOutcome, error)
	// Report asks the incarnation of a replica that the list names for its report.
	// Age in the result tells how old the numbers may have been when the replica was
	// asked; Address and MeasuredAt are left zero.
	Report(ctx context.Context, address, instance string) (control.ReplicaReport, error)
}

// Edges are the protocols between a node and the world outside. Zero values mean the
// product's own protocols.
type Edges struct {
	// Dataplane speaks to callers and back ends.
	Dataplane dataplane.Edges
	// LimitConnections, if set, is told how many connections this node may have to
	// each back end, 0 for any number.
	LimitConnections func(limit func(address string) int)
	// Endpoints reads the platform's list of back ends.
	Endpoints EndpointReader
	Replicas  ReplicaCommander
	// ReplicasFinishFirst is that of control.Config.
	ReplicasFinishFirst bool
	// Operator returns what serves operators, and whoever asks for the node's
	// health. The node's own questions are answered beside it, see
	// operator.WithQueries.
	Operator func(node *Node) http.Handler
	// ReadyAddress is a further IP and port at which Operator's handler is
	// served; empty for none.
	ReadyAddress string
}

// Control returns the control state of the node.
func (n *Node) Control() *driver.Driver { return n.driver }

// Ready returns nil while new connections may be sent to the node.
func (n *Node) Ready() error { return n.health.Ready() }
