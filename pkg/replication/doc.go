// Package replication is the state machine of one replica group: a replicated
// log with one owner (the leader of the epoch) and followers, after Raft.
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
//   - A voter promises an epoch to one member only, and the promise is durable
//     before the reply leaves.
//   - A follower's acknowledgement leaves after the entries it speaks of are
//     durable. The owner's own copy counts only after Advance.
//   - An owner commits by counting copies of entries of its own epoch only;
//     a barrier entry commits what earlier epochs left.
//   - A member without its durable state is a learner: it follows the log, and
//     neither its promises nor its acknowledgements count.
package replication
