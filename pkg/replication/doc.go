// Package replication is the state machine of one replica group: a replicated
// log with one leader a term and followers, after Raft.
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
// The rules which everything else rests on:
//
//   - A voter promises a term to one member only, and the promise is durable
//     before the reply leaves.
//   - A follower's acknowledgement leaves after the entries it speaks of are
//     durable. The leader's own copy counts only after Advance.
//   - A leader commits by counting copies of entries of its own term only;
//     a barrier entry commits what earlier terms left.
//   - A voter is a member in one incarnation of its durable state. A member that lost
//     its state goes on in a new incarnation, as a learner: neither its promises nor
//     its acknowledgements count, and those of the lost incarnation bind nobody else.
//   - The group follows from the log. Its first entry tells of the founders, and
//     a founder is told of them by its settings until it holds that entry. A
//     member that knows of no group is a learner. A change of one voter takes effect when
//     its entry is appended, and is undone when the entry is truncated. The
//     leader makes one at a time: the next only after the one before it, and an
//     entry of the leader's own term, are committed. So each majority before a
//     change and each after it have a voter in common.
//   - The leader repairs the group by itself: when a member in a new incarnation holds
//     the log, the lost incarnation is removed and then the new one is added in its
//     place. Until the removal, the lost incarnation counts in the size of the group
//     as one that never answers, which is why one lost disk is safe before the
//     leader has learnt of it: all majorities share a voter that still has what
//     they acknowledged.
//   - The leader fits the group to the members that are there: a peer that has
//     caught up gets a vote, and a silent voter is removed from a group with an
//     even number of them, which bears as many losses without it. An odd group
//     keeps its silent voters until a new one has come. The voters that a change
//     rests on answer a heartbeat after it became due, and before it is made.
//   - A group that lost the majority of its voters' incarnations is formed anew only
//     under a ballot that the present incarnation of every place has promised, by the
//     member whose log is the newest of all. The places are those of the newest
//     group that the member knows; it yields to a voter with a newer log, which
//     may know a newer one.
package replication
