package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
)

// commandLease determines when a leader holds the command lease.
type commandLease struct {
	// current is the lease of this leadership, which heartbeats extend.
	current lease.Holder
	// predecessors determines when the leases of all earlier terms have expired.
	predecessors lease.Successor
}

func newCommandLease(timing lease.Timing, electedAt time.Duration) commandLease {
	return commandLease{current: lease.NewHolder(timing), predecessors: lease.NewSuccessor(timing, electedAt)}
}

// mayAct reports whether the lease is valid at now. If now is before newest, the latest known
// time, the lease must not have expired by newest either.
func (l *commandLease) mayAct(now, newest time.Duration) bool {
	return l.predecessors.MayAct(now) && l.current.MayAct(max(now, newest))
}
