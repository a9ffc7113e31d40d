package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
)

// commandLease tells until when a leader may command. The zero value never allows it.
type commandLease struct {
	// current is the lease of this leadership, which heartbeats extend.
	current lease.Holder
	// predecessors tells when the leases of all earlier terms have expired.
	predecessors lease.Successor
}

func newCommandLease(timing lease.Timing, electedAt time.Duration) commandLease {
	return commandLease{current: lease.NewHolder(timing), predecessors: lease.NewSuccessor(timing, electedAt)}
}

// HasCommandLease tells whether this member leads and has the command lease at now: it is
// not handing the leadership over, it has applied its own barrier, every lease of an
// earlier term has expired, and a majority acknowledged a heartbeat sent less than
// LeaseDuration-LeaseMargin before. The driver asks again at the instant of sending a
// command. A later instant than the present one tells whether the lease would last until
// then; the call changes no state.
func (g *Group) HasCommandLease(now time.Duration) bool {
	if g.election.role() != RoleLeader || g.leadership.transfer.target != "" || !g.BarrierApplied() {
		return false
	}
	return g.leadership.lease.predecessors.MayAct(now) && g.leadership.lease.current.MayAct(max(now, g.now))
}

// BarrierApplied tells whether this member leads the group and has applied all that
// was there when it became the leader.
func (g *Group) BarrierApplied() bool {
	return g.election.role() == RoleLeader && g.log.applied >= g.leadership.barrier
}
