package operator

import (
	"context"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// Control is what the control interface needs of the node's control state. It
// is safe for concurrent use.
type Control interface {
	// Submit orders a change and waits for its response until the context ends.
	// A response that is not confirmed may take effect later. An error that
	// carries a Problem, such as an *UnavailableError, means that the order was
	// not accepted; after any other error it may have been.
	Submit(ctx context.Context, order *controlpb.Order) (*controlpb.Answer, error)
	// Configuration is the configuration that the node serves, which may be
	// outdated; nil before the first one. It is read only.
	Configuration() *ridgeswitchv1.Configuration
	// ReadConfiguration reads the configuration in force, as a quorum confirms it.
	// It is read only.
	ReadConfiguration(ctx context.Context) (*ridgeswitchv1.Configuration, error)
	// Source reads the source document of the configuration, as a quorum
	// confirms it; nil if there is none.
	Source(ctx context.Context) (*ridgeswitchv1.Source, error)
	// Weights returns how far a pool's roll-out has come.
	Weights(pool string) (*ridgeswitchv1.WeightsStatus, error)
	// Status is the node's view of the deployment.
	Status() *ridgeswitchv1.NodeStatus
}

// Health reports whether the node is ready for traffic and whether it lives. Nil
// means yes; an error's message tells why not.
type Health interface {
	Ready() error
	Live() error
}
