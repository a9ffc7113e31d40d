// Package relaytree distributes the newest revision of each topic from the topic's root to
// all nodes, along a tree that every node computes locally from the live members.
//
// The package is pure logic: Machine does no I/O, reads no clock and starts no goroutine.
// Its caller passes it messages and ticks from one goroutine, and sends the messages that
// Machine returns. Messages may be lost, duplicated, delayed and reordered.
//
// # States and updates
//
// A state is a set of named sections. Each node stores the newest state of each topic and
// a bounded log of which sections changed at which revision, so that it can send a
// receiver a delta from the receiver's revision. A receiver whose revision is older than
// the log gets the complete state, in chunks if the state is large. Without knowledge of
// the receiver's revision, a node sends the complete state if it is small, and otherwise a
// delta from its own previous revision. Every update contains the checksum of all sections:
// a receiver whose state would not match the checksum applies nothing. If the update was a
// delta, the receiver requests the complete state.
//
// # Protocol
//
// Each node that applies an update sends it to its children immediately, and acknowledges
// it to the sender. While an update of a topic is in flight to a node, newer ones are
// coalesced: only the newest is sent after the acknowledgement, so that a burst of
// revisions costs each link at most one update per round trip.
//
// Digests repair losses. Every Config.DigestEvery, a node sends the list of its revisions
// to one of its parents and to one other member, both selected in rotation. Shortly after a
// change of the trees, it sends the list to all its parents. A receiver that has a newer
// revision of a topic sends it, and a receiver that has an older one replies with its own
// digest. Therefore a node whose parent died, or whose view of the tree differs temporarily
// from that of the others, still converges.
//
// # Components and their state
//
//	state                                                owner
//	live members, roots, positions in the trees          topology
//	newest state of each topic, change log, cached       stateStore
//	updates
//	known revisions of other members, updates in flight  sender
//	received chunks of incomplete updates                assembler
//	schedule of digests                                  antiEntropy
//	messages to send for the current input               outbox
//
// Machine composes these components. Machine.Step and Machine.Tick show the order in which
// they run; Machine.onUpdate handles a received update.
//
// # Invariants
//
// The revision that a node has of a topic never decreases, and a state that a node stores
// or returns never mixes sections of several revisions: Machine.apply is the only place
// that changes a state. Contents of sections are opaque and are shared, not copied: neither
// the package nor its caller may modify them.
package relaytree
