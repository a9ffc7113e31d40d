package protocol

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Transport sends control messages. A message to the node itself is handled before Send
// returns, so that the sender must be ready to receive the reply before it calls Send.
type Transport interface {
	Send(to member.ID, message Message)
}

// requestBits is the number of low bits of a request's number that count the requests of one
// process. The bits above contain the incarnation.
const requestBits = 20

// Numbering assigns numbers to the requests of a process. Processes of one node use different
// numbers, so that a late reply to a request of an earlier process is not mistaken for the
// reply to a new one.
type Numbering struct {
	last uint64
}

// NewNumbering returns the numbering of a process that started in an incarnation.
func NewNumbering(incarnation member.Incarnation) *Numbering {
	return &Numbering{last: uint64(incarnation) << requestBits}
}

// Next returns the number of the next request.
func (n *Numbering) Next() uint64 {
	n.last++
	return n.last
}
