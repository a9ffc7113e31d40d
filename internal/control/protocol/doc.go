// Package protocol defines the messages that the control machines of nodes send to each
// other: operators' requests, registration, confirmation of revisions, recovery of shards and
// the platform's list. Package wire encodes them; the values of MessageType are part of the
// wire format.
//
// It also contains what the control machine's components share: Transport, which sends their
// messages, and Numbering, which numbers the requests of a process.
package protocol
