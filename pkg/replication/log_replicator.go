package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// maxAppendBytes limits the commands in one append message; a larger command is sent alone.
const maxAppendBytes = 1 << 20

// largeAppendBytes is the size of commands in flight from which on they are sent again only
// if they were certainly lost.
const largeAppendBytes = 64 << 10

// logReplicator replicates the leader's log to the followers, and commits what a majority of
// the voters has. It owns the set of tracked members and their progress.
type logReplicator struct {
	*memberState
	followers tracker
	// heartbeats are those of the leadership. They are sent on the same connections as the
	// appends.
	heartbeats *heartbeats
	// appendPending is true if new entries or a new commit index have not been sent to the
	// followers yet.
	appendPending bool
}

// append appends an entry of the present term. It is sent to the followers with the next
// Ready, together with all others appended until then.
func (r *logReplicator) append(kind EntryKind, command []byte) (index uint64) {
	r.appendPending = true
	return r.log.appendNew(r.hardState.Term, kind, command)
}

// trackMembers begins to track the members that the leader does not track yet. Each counts as
// heard from now, when the given heartbeat was the newest. Until the leader hears from a
// voter, the voter counts as in the incarnation that has the vote.
func (r *logReplicator) trackMembers(heartbeat uint64) {
	r.followers.track(r.otherMembers(), progress{
		next:             r.log.lastIndex() + 1,
		lastContact:      r.now,
		contactHeartbeat: heartbeat,
		maxInFlightBytes: r.cfg.MaxLogBytes,
	})
	r.followers.assumeIncarnations(r.log.groups.latest().voters)
}

// commit commits the entries that are durable on a majority of the voters, if the newest of
// them is of the present term. An entry of an earlier term could still be overwritten,
// however many voters have it. It returns whether the commit index advanced.
func (r *logReplicator) commit() bool {
	index := r.followers.reachedByMajority(r.log.groups.latest().voters,
		r.log.durable, func(p *progress) uint64 { return p.match })
	if term, ok := r.log.termAt(index); !ok || term != r.hardState.Term {
		return false
	}
	if !r.log.commitTo(index) {
		return false
	}
	r.appendPending = true
	return true
}

// broadcast sends new entries and the commit index to all followers to which sending is not
// paused.
func (r *logReplicator) broadcast() {
	r.appendPending = false
	for _, id := range r.otherMembers() {
		r.sendAppends(id, r.followers.get(id))
	}
}

// resendLost sends again what may have been lost on the way to a follower that is behind, as
// its reply to a heartbeat shows. Large appends and snapshots are sent again only if they
// were certainly lost, however long they are in transit.
func (r *logReplicator) resendLost(to member.ID, follower *progress, reply Message) {
	lost := follower.lastSendLost(reply.HeartbeatNumber)
	if follower.state == progressSnapshot {
		if lost && r.now >= follower.snapshotSentAt+r.cfg.ElectionTimeout {
			r.sendSnapshot(to, follower)
		}
		return
	}
	if follower.match >= r.log.lastIndex() && reply.Commit >= r.log.committed {
		return
	}
	if !lost && follower.inFlight.bytes >= largeAppendBytes {
		return
	}
	follower.probeSent = false
	if follower.isPaused() {
		// As much is in flight as may be, and nothing was acknowledged since the last
		// heartbeat. Probe for the entries that the follower has.
		follower.becomeProbe()
	}
	r.sendAppends(to, follower)
}

// sendAppends sends as many entries as may be in flight. Unless sending is paused, it sends
// at least one append, which has no entries if only the commit index is new.
func (r *logReplicator) sendAppends(to member.ID, follower *progress) {
	if follower.isPaused() {
		return
	}
	r.sendAppend(to, follower)
	for follower.next <= r.log.lastIndex() && !follower.isPaused() {
		r.sendAppend(to, follower)
	}
}

// sendAppend sends one append, or the snapshot if the log no longer has the entry before
// those that the follower lacks.
func (r *logReplicator) sendAppend(to member.ID, follower *progress) {
	before := follower.next - 1
	beforeTerm, ok := r.log.termAt(before)
	if !ok {
		r.sendSnapshot(to, follower)
		return
	}
	entries := r.log.entriesFrom(follower.next, maxAppendBytes)
	r.send(to, Message{
		Type:      MessageAppend,
		Term:      r.hardState.Term,
		Index:     before,
		IndexTerm: beforeTerm,
		Commit:    r.log.committed,
		Entries:   entries,
	})
	follower.sent(entries, r.heartbeats.number)
}

// sendSnapshot sends the newest snapshot. A snapshot exists whenever entries have been
// removed from the log.
func (r *logReplicator) sendSnapshot(to member.ID, follower *progress) {
	snapshot := r.log.snapshot
	follower.becomeSnapshot(snapshot.Index, r.now, r.heartbeats.number)
	r.send(to, Message{
		Type:     MessageSnapshot,
		Term:     r.hardState.Term,
		Index:    snapshot.Index,
		Snapshot: snapshot,
	})
}
