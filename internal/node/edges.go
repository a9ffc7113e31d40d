package node

import (
	"context"
	"net/http"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// Edges are the protocols that a node speaks to the world outside. Zero values
// mean the node's own.
type Edges struct {
	// Dataplane speaks to callers and back ends.
	Dataplane dataplane.Edges
	// List reads the platform's list of back ends.
	List ListReader
	// Operator returns what serves operators, and whoever asks for the node's
	// health.
	Operator func(node *Node) http.Handler
	// ReadyAddress is a further IP and port at which Operator's handler is
	// served; empty for none.
	ReadyAddress string
}

// ListReader reads the platform's list of back ends.
type ListReader interface {
	// Read returns the whole list as it is now.
	Read(ctx context.Context) ([]control.ListedService, error)
}

// Control returns the control state of the node.
func (n *Node) Control() *control.Driver { return n.driver }

// Ready returns nil while new connections may be sent to the node.
func (n *Node) Ready() error { return n.health.Ready() }
