package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// maxAppendBytes bounds the commands in one append message; a longer command goes
// alone.
const maxAppendBytes = 1 << 20

// largeAppendBytes is the size of commands in flight from which on they are sent again only
// if they were lost for certain.
const largeAppendBytes = 64 << 10

// logReplicator brings the leader's log to the followers, and commits what a majority
// of the voters has. It owns which members are tracked and their progress.
type logReplicator struct {
	*memberState
	followers tracker
	// heartbeats are those of the leadership, which sends them on the same connections.
	heartbeats *heartbeats
	// appendPending tells that followers have yet to be sent new entries or a new
	// commit index.
	appendPending bool
}

// append appends an entry of the present term. The followers are sent it with the
// next Ready, together with others appended until then.
func (r *logReplicator) append(kind EntryKind, command []byte) (index uint64) {
	r.appendPending = true
	return r.log.appendNew(r.hardState.Term, kind, command)
}

// trackMembers begins to track the members that the leader does not track yet, as
// heard when the heartbeat was sent. Until a voter is heard, it counts as in the
// incarnation that has the vote.
func (r *logReplicator) trackMembers(heartbeat uint64) {
	r.followers.track(r.otherMembers(), progress{
		next:             r.log.lastIndex() + 1,
		lastContact:      r.now,
		contactHeartbeat: heartbeat,
		maxInFlightBytes: r.cfg.MaxLogBytes,
	})
	r.followers.assumeIncarnations(r.log.groups.latest().voters)
}

// commit commits the entries that are durable on a majority of the voters, if the
// newest of them is of the present term. An entry of an earlier term could still be
// overwritten, however many voters have it. It is true if the commit index advanced.
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

// broadcast sends new entries and the commit index to all followers that can take
// them.
func (r *logReplicator) broadcast() {
	r.appendPending = false
	for _, id := range r.otherMembers() {
		r.sendAppends(id, r.followers.get(id))
	}
}

// resendLost sends again what may have been lost on the way to a follower that is behind, as
// its reply to a heartbeat shows. What is large is sent again only if it was lost, however
// long it takes on its way.
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
		// All that may be in flight was sent, and nothing was acknowledged since the
		// last heartbeat: find out which entries the follower has.
		follower.becomeProbe()
	}
	r.sendAppends(to, follower)
}

// sendAppends sends as many entries as may be in flight; it is at least one append,
// which may be empty but for the commit index.
func (r *logReplicator) sendAppends(to member.ID, follower *progress) {
	if follower.isPaused() {
		return
	}
	r.sendAppend(to, follower)
	for follower.next <= r.log.lastIndex() && !follower.isPaused() {
		r.sendAppend(to, follower)
	}
}

// sendAppend sends one append, or the snapshot if the log no longer has the
// entries that the follower lacks.
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

// sendSnapshot sends the newest snapshot. There is one whenever entries have been
// dropped from the log.
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
