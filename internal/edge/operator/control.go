package operator

import (
	"context"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// Control is the node's control state as the control interface uses it. Implementations must be
// safe for concurrent use.
type Control interface {
	// Submit submits an order and waits for its response until the context ends. An order
	// whose response is not confirmed may take effect later. An error with a Problem method,
	// such as an *UnavailableError, means that the order was not accepted; after any other
	// error it may have been.
	Submit(ctx context.Context, order *controlpb.Order) (*controlpb.Answer, error)
	// Configuration returns the configuration that the node serves, which may be outdated,
	// or nil before the first one. The caller must not modify it.
	Configuration() *ridgeswitchv1.Configuration
	// ReadConfiguration returns the configuration in force, as confirmed by a quorum. The
	// caller must not modify it.
	ReadConfiguration(ctx context.Context) (*ridgeswitchv1.Configuration, error)
	// Source returns the source document of the configuration in force, as confirmed by a
	// quorum, or nil if there is none.
	Source(ctx context.Context) (*ridgeswitchv1.Source, error)
	// Weights returns the status of a pool's roll-out of weights.
	Weights(pool string) (*ridgeswitchv1.WeightsStatus, error)
	// Status returns the node's view of the deployment.
	Status() *ridgeswitchv1.NodeStatus
}

// Health implements the health checks of the node. Ready returns nil if the node is ready for
// traffic, and Live returns nil if its process works. Otherwise the error's message gives the
// reason.
type Health interface {
	Ready() error
	Live() error
}
