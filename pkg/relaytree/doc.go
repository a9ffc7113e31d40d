// Package relaytree distributes the newest revision of each topic from its root to all
// nodes along a tree that every node derives by itself from the live members.
//
// The package is pure logic: Machine does no I/O, reads no clock and starts no goroutine.
// Its caller feeds it messages and ticks from one goroutine, and sends the messages that
// it returns. Messages may be lost, duplicated, delayed and reordered.
//
// # States and updates
//
// A state is a set of named sections. Each node stores the newest state of each topic and
// a bounded log of which sections changed at which revision, so that it can send a
// receiver a delta from the receiver's revision. A receiver whose revision isn't known, or
// is too old, gets the complete state, in chunks if it is large. Every update carries the
// checksum of all sections: a receiver that would end in another state applies nothing and
// requests a complete one.
//
// # Protocol
//
// An update goes down the tree at once. Each node acknowledges it. While an update of a
// topic is in flight to a node, newer ones are coalesced: only the newest is sent after the
// acknowledgement, so that a storm of revisions costs each link one update a round trip.
// Digests repair losses: every DigestEvery a node sends the list of its revisions to one of
// its parents and to one other member, each in turn, and soon after a change of the trees
// to all its parents. A receiver with something newer sends it, and one with something
// older replies with its own digest. So a node whose parent died, or whose tree differs
// from the others' for a while, still converges.
//
// # Parts and their state
//
//	state                                                owner
//	live members, roots, positions in the trees          topology
//	newest state of each topic, change log, cached       stateStore
//	updates
//	what other members have, updates in flight to them   sender
//	received chunks of updates that aren't complete      assembler
//	schedule of digests                                  antiEntropy
//	messages of the present input                        outbox
//
// Machine composes these. Its Step and Tick show the order in which they act; onUpdate is
// the way of a received update.
//
// # Invariants
//
// The revision that a node has of a topic never decreases, and what it has or hands out
// is all of one revision: Machine.apply is the only place that changes it. Contents are
// opaque and are shared, not copied: nobody may modify one.
package relaytree
