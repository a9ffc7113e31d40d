package node

import (
	"context"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// ListReader reads the platform's list of back ends. An error leaves the last list in
// force.
type ListReader interface {
	Read(ctx context.Context) ([]control.ListedService, error)
}

// ReplicaCommander speaks to replicas about their weights.
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

// Edges are how a node speaks to the platform and to replicas.
type Edges struct {
	Lists    ListReader
	Replicas ReplicaCommander
	// ReplicasFinishFirst is that of control.Config.
	ReplicasFinishFirst bool
}
