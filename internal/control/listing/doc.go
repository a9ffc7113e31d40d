// Package listing distributes the platform's list of back ends to every node, so that
// only a few nodes call the platform. A reading is one call that reads the list, and the
// list that it returned.
//
// One node, the reader, reads the list every ReadEvery and sends each reading to the
// other nodes. A node whose list has not been refreshed for longer than ReadEvery
// requests a reading from other nodes, and if none arrives, reads the list itself. The
// fewer members precede a node in the order of readers, the shorter it waits. A reader
// that crashed, was suspended or was partitioned is therefore replaced, and each side of
// a network partition has a reader of its own.
//
// Readings are ordered by term, reader and sequence number. A node that becomes the
// reader uses a greater term than any it knows, and a reader that receives a later
// reading than its own stops reading. A node never replaces a reading by an earlier one.
// The order does not tell which of two readers called the platform last. A node that
// replaces the list of one reader by one that it received from another reader therefore
// uses the intersection of both lists until a later reading arrives, unless the second
// list was read at least mergeWithin after the first one.
//
// A message contains the age of its reading instead of a time, so that clocks need not be
// synchronized. The age does not include the network delay, so a node underestimates the
// age of its list by that delay.
//
// Machine does no I/O and reads no clock. It consists of these components:
//
//	state                                                    owner
//	live members, in the order of readers                    readerOrder
//	newest reading, list that the node uses                  table
//	whether this node is the reader, pause after failures    reader
//	direct recipients of readings, last forwarded reading    disseminator
//	requests for readings, proof of freshness                follower
//	pending requests of other nodes, notified readers        responder
//	messages to send                                         outbox
package listing
