package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// DefaultVirtual is the virtual time of one run.
const DefaultVirtual = 60 * time.Second

// Times of a run. The recovery phase at its end has to be long enough for the
// bounds that are checked one after the other: service back, then new weights
// everywhere.
const (
	// formation is how long the deployment may take to form before faults begin.
	formation = 5 * time.Second
	// recoveryPhaseLength is the length of the phase without faults at the end.
	recoveryPhaseLength = 30 * time.Second
	// ServiceBackBound is how long after the faults every node must serve.
	ServiceBackBound = 12 * time.Second
	// ReplicaOutBound is how long a roll-out may keep the last replica of a pool
	// out of service in the recovery phase.
	ReplicaOutBound = 3 * time.Second
	// AcknowledgeBound is how long the acknowledgement of an order may take in
	// the recovery phase.
	AcknowledgeBound = 2 * time.Second
	// SpreadBound is how long after its acknowledgement a revision may take to be
	// in force on every node.
	SpreadBound = 2 * time.Second
	// RecoveryBound is how long a deployment may take to serve again after all
	// its nodes went down at once.
	RecoveryBound = 12 * time.Second
	// promotionBound is how long a new machine may take to become a voter.
	promotionBound = 4 * time.Second
	// failOpenContact is how long a node that fell silent counts as in contact, in
	// a fail-open deployment.
	failOpenContact = 3 * time.Second
	// failOpenAcknowledge bounds the wait for an acknowledgement there.
	failOpenAcknowledge = 4 * time.Second
	// MinVirtual is the shortest run that leaves time for faults.
	MinVirtual = formation + recoveryPhaseLength + 5*time.Second
)

// firstWeights is the weight version that replicas of the product's own protocol run
// at first.
const firstWeights = "w0"

// Settings choose one run.
type Settings struct {
	Seed uint64
	// Virtual is the virtual time of the run; at least MinVirtual.
	Virtual time.Duration
	Break   Break
	// FailOpen simulates a deployment whose nodes find each other through seeds,
	// and go on serving while they are partitioned from the core.
	FailOpen bool
	// Faults names the kinds of faults to draw from; none stands for all.
	Faults []string
	// FinishFirst simulates replicas that finish their requests before they load
	// weights, and a platform whose endpoint list names incarnations and weight
	// versions.
	FinishFirst bool
	// Timeline records what happens on each node.
	Timeline bool
}

// recoveryPhaseStart is the instant at which all faults have ended.
func (s Settings) recoveryPhaseStart() time.Duration { return s.Virtual - recoveryPhaseLength }

// firstWeights is the weight version that all replicas run at first.
func (s Settings) firstWeights() string {
	if s.FinishFirst {
		return "1"
	}
	return firstWeights
}

// weightsDeadline is what control gets as the time for a roll-out: a little less
// than the bound, since requests that were sent may wait at a replica. 0 sets none.
func (s Settings) weightsDeadline() time.Duration {
	if s.FinishFirst {
		return finishFirstBound - 1500*time.Millisecond
	}
	return 0
}

// weightsBound is the time without faults within which named weights must run
// everywhere.
func (s Settings) weightsBound() time.Duration {
	if s.FinishFirst {
		return finishFirstBound
	}
	return checker.WeightsBound
}
