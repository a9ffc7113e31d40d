// Package replication implements one member of a replica group: a replicated log with one
// leader per term, based on Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm"; Ongaro's thesis for pre-vote, leadership transfer, read index and
// single-server membership changes).
//
// The package does no I/O, starts no goroutine and reads no clock. Its caller, the driver,
// passes in messages through Step and the time through Tick, and gets the results from Ready.
// The driver makes them durable, sends the messages, applies the committed entries and calls
// Advance:
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
// A Group is not safe for concurrent use; its driver must serialize the calls.
//
// # State and its owners
//
// Group combines the following types, each of which owns the state of one concern:
//
//	state                                            owner
//	term and vote                                    termState
//	entries, snapshot; durable, committed, applied   replicaLog
//	the groups that the log defines                  groupHistory
//	identity, time, peers, messages to send          memberState
//	the leader that this member follows, its role    election
//	when this member campaigns                       electionTimer
//	the votes of its campaign                        campaign
//	a snapshot received from the leader              follower
//	the attempt to recover a lost quorum             quorumRecovery
//	reads that wait for a heartbeat                  readQueue
//	the barrier entry of a leadership                leadership
//	which members the leader sends the log to        logReplicator
//	the leader's view of each follower               tracker, progress
//	heartbeats that no quorum has acknowledged       heartbeats
//	until when the leader holds the command lease    commandLease
//	the target of a leadership transfer              leadershipTransfer
//	the group change that the leader is to make next groupRepair
//
// All of these types share one memberState, which contains the term and the log, because each
// vote, acknowledgement and commit depends on both. Only one type appends to the log at a
// time, depending on the role: follower appends what a leader sent, logReplicator appends as
// the leader, and quorumRecovery appends just before it makes this member the leader. Step,
// Tick, Ready and Advance are methods of Group because each of them involves several of these
// types. So are becomeFollower and becomeLeader, which change the role.
//
// Where to start reading: group.go, election.go and follower.go; then leadership.go and the
// types that it combines; then ready.go, which defines what must be durable before messages
// are sent. group_leader.go and group_recovery.go contain the other methods that drivers
// call.
//
// # Terms
//
// The slot order is the order of the slots in a group. It starts as the order of
// Config.Founders. A new voter gets the slot of a removed voter or a new slot at the end. All
// members of a group agree on the order. Voters that come earlier in it campaign earlier.
//
// The command lease is a leader lease. At most one member holds it at any time, so its
// holder may send commands to systems outside of the group.
//
// A member is live for the leader if the leader heard from it within the last
// Config.ElectionTimeout.
//
// # Invariants
//
// Each invariant names the code that maintains it:
//
//   - A voter grants a term to one member only (election.grantVote, voteForSelf), and the
//     vote is durable before the reply is sent: both are in the same Ready, and the driver
//     syncs before it sends.
//   - A member leads if and only if Group.leadership is set and election.leader is the
//     member itself (Group.becomeLeader, Group.becomeFollower).
//   - A follower's acknowledgement is sent after the acknowledged entries are durable
//     (both are in the same Ready). The leader's own entries count only after Advance
//     (replicaLog.setDurable).
//   - A leader commits by counting the voters that have an entry of the leader's own term.
//     The commit of its barrier entry commits the entries of earlier terms
//     (logReplicator.commit, newLeadership).
//   - A voter is a member in one incarnation of its durable state. A member that lost its
//     durable state continues in a new incarnation, as a learner. Neither the votes nor the
//     acknowledgements of the new incarnation count, and those of the lost incarnation are
//     not attributed to the new one (election.stepVoteReply, tracker.getVoter).
//   - The log determines the group (groupHistory). Its first entry contains the founders;
//     until a founder has that entry, it takes them from Config.Founders. A member that
//     knows no group is a learner. A change of one voter takes effect when its entry is
//     appended, and is undone when the entry is truncated. The leader makes one change at a
//     time: the previous change, and an entry of the leader's own term, must be committed
//     before the next change (changePlanner.groupAfter). So each majority before a change and
//     each majority after it have a voter in common.
//   - The leader replaces lost incarnations automatically: when a member has caught up in a
//     new incarnation, the leader removes the lost incarnation and then adds the new one in
//     the same slot. Until the removal, the lost incarnation counts in the size of the
//     group as a voter that never replies. The loss of one disk is therefore safe even
//     before the leader notices it: each majority that can still form shares an intact
//     voter with each earlier majority.
//   - The leader adapts the group to the available members: a peer that has caught up gets
//     a vote, and an unresponsive voter is removed from a group with an even number of
//     voters, which tolerates as many losses without it. A group with an odd number of
//     voters keeps an unresponsive voter until another member can replace it. Before the
//     leader makes such a change, the voters that must support it have acknowledged a
//     heartbeat sent when the change became due or later (groupRepair). Two kinds of change
//     don't wait for that: the promotion of the member that a slot is reserved for, which
//     may follow any commit, and changes requested with ProposeGroupChange.
//   - A group that lost the majority of its voters' incarnations is recovered only under a
//     recovery term that the present incarnation of every slot has granted, and only by the
//     member with the newest log of all (quorumRecovery). The slots are those of the newest
//     group that this member knows. It abandons its attempt in favour of a voter with a
//     newer log, which may know a newer group.
package replication
