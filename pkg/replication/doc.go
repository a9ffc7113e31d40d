// Package replication is the state machine of one member of a replica group: a
// replicated log with one leader per term, after Raft (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm"; Ongaro's thesis for
// pre-vote, leadership transfer, read index and single-server changes).
//
// The package does no I/O, starts no goroutine and reads no clock. A driver
// passes messages and time in through Step and Tick, takes the outcome from
// Ready, makes it durable, sends it, applies it, and calls Advance:
//
//	for group.HasReady() {
//		ready := group.Ready()
//		if ready.MustSync() {
//			// make Snapshot, Entries and HardState durable, in this order
//		}
//		// send Messages
//		// restore Snapshot, then apply Committed, then answer Reads
//		group.Advance()
//	}
//
// A Group is not safe for concurrent use: the driver owns it.
//
// # State and its owners
//
// Group only composes; each concern is a type with its own state:
//
//	state                                           owner
//	term and vote                                   termState
//	entries, snapshot; durable, committed, applied  replicaLog
//	the groups that the log tells of                groupHistory
//	identity, time, peers, messages to send         memberState
//	whom this member follows, and so its role       election
//	when it campaigns                               electionTimer
//	the votes of its campaign                       campaign
//	a snapshot that was received                    follower
//	the attempt to recover a lost quorum            quorumRecovery
//	reads that wait for a heartbeat                 readQueue
//	the entry that began a leadership               leadership
//	which members the leader sends the log to       logReplicator
//	what the leader knows of each of them           tracker, progress
//	heartbeats without a quorum's acknowledgement   heartbeats
//	until when the leader may command               commandLease
//	who is to take the leadership over              leadershipTransfer
//	the change of the group that is due             groupRepair
//
// All concerns share one memberState, with the term and the log in it: what a member grants,
// acknowledges or commits rests on both. Only one of them adds to the log at a time, by
// the role: the follower what a leader sent, the logReplicator as the leader, and
// quorumRecovery just before it makes this member the leader. Step, Tick, Ready and
// Advance are Group's, as each of them reaches several concerns; so are the changes of
// role, becomeFollower and becomeLeader.
//
// To read: group.go, election.go and follower.go; then leadership.go with what it joins;
// then ready.go, for what becomes durable before what leaves. group_leader.go and
// group_recovery.go have the remaining calls of drivers.
//
// # Invariants
//
// Each with the code that upholds it:
//
//   - A voter grants a term to one member only (election.grantVote, voteForSelf), and the
//     vote is durable before the reply leaves: Ready has both, and a driver syncs first.
//   - A member leads if and only if Group.leadership is set and election.leader is the
//     member itself (Group.becomeLeader, Group.becomeFollower).
//   - A follower's acknowledgement leaves after the entries that it acknowledges
//     are durable (the same Ready has both). The leader's own log counts only after
//     Advance (replicaLog.setDurable).
//   - A leader commits by counting the voters that have an entry of its own term; a
//     barrier entry commits the entries that earlier terms left (logReplicator.commit,
//     newLeadership).
//   - A voter is a member in one incarnation of its durable state. A member that
//     lost its state goes on in a new incarnation, as a learner: neither its votes
//     nor its acknowledgements count, and those of the lost incarnation bind
//     nobody else (election.stepVoteReply, tracker.getVoter).
//   - The group follows from the log (groupHistory). Its first entry names the founders;
//     until a founder has that entry, its settings name them. A member that knows of no
//     group is a learner. A change of one voter takes effect when its entry is
//     appended, and is undone when the entry is truncated. The leader makes one
//     change at a time: the next only after the one before it, and an entry of the
//     leader's own term, are committed (changePlanner.after). So each majority before a
//     change and each majority after it have a voter in common.
//   - The leader repairs the group by itself: when a member in a new incarnation
//     has the log, the lost incarnation is removed and then the new one is added in
//     its slot. Until the removal, the lost incarnation counts in the size of the
//     group as one that never replies. That is why one lost disk is safe before the
//     leader has learnt of it: all majorities share a voter that still has what
//     they acknowledged.
//   - The leader fits the group to the members that are there: a peer that has
//     caught up gets a vote, and an unresponsive voter is removed from a group with
//     an even number of them, which tolerates as many losses without it. An odd
//     group keeps its unresponsive voters until a new one has come. The voters that
//     a change rests on acknowledge a heartbeat after the change became due, and
//     before it is made (groupRepair). Two changes don't wait for that: the refill of a
//     reserved slot, which may follow any commit, and ProposeGroupChange.
//   - A group that lost the majority of its voters' incarnations is recovered only
//     under a recovery term that the present incarnation of every slot has granted,
//     by the member whose log is the newest of all (quorumRecovery). The slots are those
//     of the newest group that the member knows; it yields to a voter with a newer log,
//     which may know a newer group.
package replication
