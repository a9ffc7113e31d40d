package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxUncommitted limits the number of entries that wait for a quorum.
const maxUncommitted = 8192

// leadership is the state of a leader. It exists while the member leads the present term, and
// is discarded with that term. It passes replies and time between the types that own the
// leader's state.
type leadership struct {
	*memberState
	// reads is kept when the leadership ends, as the waiting reads then fail.
	reads      *readQueue
	replicator logReplicator
	heartbeats heartbeats
	lease      commandLease
	transfer   leadershipTransfer
	repair     groupRepair
	// barrier is the index of the entry that began the leadership.
	barrier uint64
}

// newLeadership begins to lead the present term with a barrier entry, whose commit commits
// all entries of earlier terms. In an empty log that entry contains the founding voters, so
// that from then on the log alone determines the group.
func newLeadership(state *memberState, reads *readQueue) *leadership {
	l := &leadership{
		memberState: state,
		reads:       reads,
		replicator:  logReplicator{memberState: state, followers: newTracker(state.self(), state.cfg.ElectionTimeout)},
		lease:       newCommandLease(state.cfg.leaseTiming(), state.now),
	}
	l.replicator.heartbeats = &l.heartbeats
	l.transfer = leadershipTransfer{memberState: state, followers: &l.replicator.followers}
	l.trackMembers()
	if l.log.lastIndex() == 0 {
		l.barrier = l.replicator.append(EntryGroupChange, encodeSlots(l.slots()))
	} else {
		l.barrier = l.replicator.append(EntryBarrier, nil)
	}
	l.broadcastHeartbeat()
	return l
}

// hasLiveMajority reports whether the leader has recently heard from a majority of the
// voters. If it has not, the other voters may have elected another leader.
func (l *leadership) hasLiveMajority() bool {
	return l.replicator.followers.hasLiveMajority(l.slots(), l.now)
}

// tick ends a transfer that has timed out, and sends the heartbeats that are due.
func (l *leadership) tick() {
	l.transfer.tick()
	if l.now >= l.heartbeats.sentAt+l.cfg.HeartbeatEvery {
		l.broadcastHeartbeat()
	}
}

// propose appends a command.
func (l *leadership) propose(command []byte) (index uint64, err error) {
	if err := l.checkNotTransferring(); err != nil {
		return 0, err
	}
	if l.log.lastIndex()-l.log.committed >= maxUncommitted {
		return 0, ErrBacklogFull
	}
	return l.replicator.append(EntryCommand, command), nil
}

// requestRead queues a read until a heartbeat confirms it, and sends a heartbeat if none is
// in flight.
func (l *leadership) requestRead() (readID uint64, err error) {
	if err := l.checkNotTransferring(); err != nil {
		return 0, err
	}
	if len(l.reads.waiting) >= maxPendingReads {
		return 0, ErrBacklogFull
	}
	id := l.reads.add()
	if !l.reads.heartbeatInFlight() {
		l.broadcastHeartbeat()
	}
	return id, nil
}

// proposeGroupChange appends a change of the group, which takes effect at once.
func (l *leadership) proposeGroupChange(change GroupChange) error {
	if err := l.checkNotTransferring(); err != nil {
		return err
	}
	changed, problem := l.changePlanner().groupAfter(change)
	if problem != 0 {
		return &GroupChangeError{Change: change, Problem: problem}
	}
	l.replicator.append(EntryGroupChange, encodeSlots(changed))
	l.trackMembers()
	return nil
}

// mayCommand reports whether the leader has the command lease at now.
func (l *leadership) mayCommand(now time.Duration) bool {
	return !l.transfer.inProgress() && l.barrierApplied() && l.lease.mayAct(now, l.now)
}

// barrierApplied reports whether all entries up to the barrier are applied.
func (l *leadership) barrierApplied() bool {
	return l.log.applied >= l.barrier
}

// checkNotTransferring fails with a *NotLeaderError while a leadership transfer is in
// progress.
func (l *leadership) checkNotTransferring() error {
	if l.transfer.inProgress() {
		return &NotLeaderError{Leader: l.transfer.target}
	}
	return nil
}

// stepReply handles a follower's reply of the present term. Replies of a lost incarnation are
// dropped.
func (l *leadership) stepReply(from member.ID, m Message) error {
	if m.Type == MessageAppendReply && m.Index > l.log.lastIndex() {
		return &MessageError{From: from, Type: m.Type, Message: "acknowledges entries beyond the end of the leader's log: check that the sender belongs to the same group"}
	}
	follower := l.replicator.followers.get(from)
	if follower == nil {
		return nil
	}
	if m.Incarnation != follower.incarnation {
		if !follower.isLaterIncarnation(m) {
			// The durable state on which this reply is based may be lost.
			return nil
		}
		follower.beginIncarnation(m.Incarnation)
	}
	follower.recordContact(m, l.now, l.heartbeats.number)
	if m.Type == MessageHeartbeatReply {
		l.stepHeartbeatReply(from, follower, m)
	} else {
		l.stepAppendReply(from, follower, m)
	}
	return nil
}

// stepHeartbeatReply counts the acknowledgement, makes the group change that was waiting for
// it, and sends again what the follower lacks.
func (l *leadership) stepHeartbeatReply(from member.ID, follower *progress, m Message) {
	if m.HeartbeatNumber <= l.heartbeats.number {
		follower.ackedHeartbeat = max(follower.ackedHeartbeat, m.HeartbeatNumber)
	}
	l.confirmHeartbeats()
	l.proposeDueChange()
	l.replicator.resendLost(from, follower, m)
	l.transfer.repeat(from)
}

// stepAppendReply updates how far the follower's log matches, and sends the entries that come
// next.
func (l *leadership) stepAppendReply(from member.ID, follower *progress, m Message) {
	if m.Reject {
		hint, _ := l.log.conflictHint(m.RejectHint, m.IndexTerm)
		if follower.rejected(m.Index, hint) {
			l.replicator.sendAppends(from, follower)
		}
		return
	}
	if follower.acknowledged(m.Index) {
		l.commit()
		l.transfer.proceed(from)
	}
	if follower.next <= l.log.lastIndex() {
		l.replicator.sendAppends(from, follower)
	}
}

// commit advances the commit index to what a majority has, and then does what waits for a
// commit.
func (l *leadership) commit() {
	if !l.replicator.commit() {
		return
	}
	// Reads may have waited for the commit of the barrier.
	l.confirmHeartbeats()
	// The commit may be that of the removal of a voter whose slot is reserved. The promotion
	// in that slot doesn't wait for a heartbeat: until the slot has a vote again, the group
	// tolerates fewer losses.
	if change, due := l.changePlanner().duePromotion(); due {
		// An error is not final: the next heartbeat finds the change again.
		_ = l.proposeGroupChange(change)
	}
}

// broadcastHeartbeat sends a heartbeat to all other members. It assigns the heartbeat to the
// reads that wait for one, and searches for a group change that is due.
func (l *leadership) broadcastHeartbeat() {
	l.heartbeats.begin(l.now)
	for _, id := range l.otherMembers() {
		l.send(id, Message{
			Type:            MessageHeartbeat,
			Term:            l.hardState.Term,
			Index:           l.log.lastIndex(),
			HeartbeatNumber: l.heartbeats.number,
		})
	}
	l.reads.assign(l.heartbeats.number)
	l.confirmHeartbeats()
	l.repair.search(l.changePlanner(), l.heartbeats.number)
	l.proposeDueChange()
	// This must follow the search above, which judges members by the log at the previous
	// heartbeat: they have had time to acknowledge that one.
	l.heartbeats.lastIndex = l.log.lastIndex()
}

// confirmHeartbeats extends the command lease and confirms reads by the heartbeats that a
// majority has acknowledged. Reads also wait for the commit of the barrier, as the leader
// can't know the last committed entry before that.
func (l *leadership) confirmHeartbeats() {
	acknowledged := l.replicator.followers.reachedByMajority(l.log.groups.latest().voters,
		l.heartbeats.number, func(p *progress) uint64 { return p.ackedHeartbeat })
	if sentAt, confirmed := l.heartbeats.confirm(acknowledged); confirmed {
		l.lease.current.Confirm(sentAt)
	}
	if l.log.committed < l.barrier {
		return
	}
	l.reads.confirm(acknowledged, l.log.committed)
	if l.reads.needHeartbeat() {
		l.broadcastHeartbeat()
	}
}

// proposeDueChange proposes the group change that is due, once the required members have
// acknowledged a heartbeat sent since it became due.
func (l *leadership) proposeDueChange() {
	if change, due := l.repair.take(l.changePlanner()); due {
		// An error is not final: the next heartbeat finds the change again.
		_ = l.proposeGroupChange(change)
	}
}

// changePlanner returns a planner with the leader's present state.
func (l *leadership) changePlanner() *changePlanner {
	return &changePlanner{
		cfg:           &l.cfg,
		now:           l.now,
		group:         l.log.groups.latest(),
		peers:         l.peers,
		followers:     &l.replicator.followers,
		committed:     l.log.committed,
		barrier:       l.barrier,
		caughtUpIndex: l.heartbeats.lastIndex,
	}
}

// trackMembers starts tracking new members after a change of the group or of the peers.
func (l *leadership) trackMembers() {
	l.replicator.trackMembers(l.heartbeats.number)
}
