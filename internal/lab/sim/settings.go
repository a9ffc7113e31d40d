package sim

import "time"

// DefaultVirtual is the virtual time of one run.
const DefaultVirtual = 60 * time.Second

// Times of a run. The calm at its end has to hold the bounds one after the
// other: service back, then new weights everywhere.
const (
	// formation is how long the deployment may take to form before faults.
	formation = 5 * time.Second
	// recoveryPhaseLength is the span without faults at the end.
	recoveryPhaseLength = 30 * time.Second
	// ServiceBackBound is how long after the faults every node must serve.
	ServiceBackBound = 12 * time.Second
	// ReplicaOutBound is how long the last replica of a pool may be out of service
	// for a roll-out in the calm.
	ReplicaOutBound = 3 * time.Second
	// AcknowledgeBound is how long an order may take in the calm.
	AcknowledgeBound = 2 * time.Second
	// SpreadBound is how long an acknowledged revision may take to be in force
	// on every node.
	SpreadBound = 2 * time.Second
	// MinVirtual is the shortest run that leaves time for faults.
	MinVirtual = formation + recoveryPhaseLength + 5*time.Second
)

// Settings choose one run.
type Settings struct {
	Seed uint64
	// Virtual is the virtual time of the run; at least MinVirtual.
	Virtual time.Duration
	Break   Break
	// FailOpen runs a deployment whose nodes with disks find each other through
	// seeds, and go on serving while they are cut off.
	FailOpen bool
	// Faults names the kinds of faults to choose from; none stands for all.
	Faults []string
	// FinishFirst simulates replicas that finish their requests before they load
	// weights, and a platform's list that names incarnations and versions.
	FinishFirst bool
	// Timeline records what happens on each node.
	Timeline bool
}

// recoveryPhaseStart is when the faults are over.
func (s Settings) recoveryPhaseStart() time.Duration { return s.Virtual - recoveryPhaseLength }
