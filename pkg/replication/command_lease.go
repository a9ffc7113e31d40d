package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
)

// commandLease tells until when a leader may command.
type commandLease struct {
	// current is the lease of this leadership, which heartbeats extend.
	current lease.Holder
	// predecessors tells when the leases of all earlier terms have expired.
	predecessors lease.Successor
}

func newCommandLease(timing lease.Timing, electedAt time.Duration) commandLease {
	return commandLease{current: lease.NewHolder(timing), predecessors: lease.NewSuccessor(timing, electedAt)}
}

// mayAct tells whether the lease is valid at now. If now lies before newest, the newest
// instant that is known, the lease must not have expired by then either.
func (l *commandLease) mayAct(now, newest time.Duration) bool {
	return l.predecessors.MayAct(now) && l.current.MayAct(max(now, newest))
}
