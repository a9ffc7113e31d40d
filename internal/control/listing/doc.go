// Package listing keeps the platform's list of back ends on every node while few
// nodes read it.
//
// One node, the reader, reads the list every ReadEvery and passes each reading on.
// A node whose list has not been refreshed for longer than that asks others, and
// then reads by itself: the sooner, the fewer members precede it in the order of
// readers. So a reader that died, froze or was partitioned is replaced, and each part
// of a partitioned deployment has a reader of its own.
//
// Readings are ordered by term, reader and number. Whoever becomes the reader takes
// a greater term than any it knows, and whoever hears of a later reading than its
// own stops reading. A node never goes back to an earlier one. The order says
// nothing about which of two readers read last: where a list takes the place of one
// by another reader, a node uses what both allow until the next reading.
//
// A reading travels with its age, so that clocks need not agree. The age leaves out
// the time on the way; the list that a node uses is older than it takes it to be by
// that much.
//
// Machine does no I/O and reads no clock. It composes these parts:
//
//	state                                              owner
//	live members, in the order of readers              readerOrder
//	newest reading, list that the node uses            table
//	whether this node reads; pause after failures      reader
//	who gets readings directly; what was forwarded     disseminator
//	requests for readings, proof of freshness          follower
//	requests of others that wait; notified readers     responder
//	messages to send                                   outbox
package listing
