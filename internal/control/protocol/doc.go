// Package protocol holds the messages that the control machines of nodes send each other:
// operators' requests, registration, confirmation of revisions, recovery of shards and the
// platform's list. Package wire encodes them; their numbers are part of the wire format.
//
// It also holds what the machines of all concerns share: Transport, through which they
// send, and Numbering, which numbers the requests of a process.
package protocol
