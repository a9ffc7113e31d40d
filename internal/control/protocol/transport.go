package protocol

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// Transport sends control messages. A message for the node itself is handled before
// Send returns, so that the sender must be in a state that can take the reply.
type Transport interface {
	Send(to member.ID, message Message)
}

// requestBits leave room for the requests of one process.
const requestBits = 20

// Numbering gives the requests of a process their numbers. Another process of the same
// node gives others, so that no late reply to a request of an earlier incarnation is
// taken for the reply to a new one.
type Numbering struct {
	last uint64
}

// NewNumbering returns the numbering of a process that started in an incarnation.
func NewNumbering(incarnation member.Incarnation) *Numbering {
	return &Numbering{last: uint64(incarnation) << requestBits}
}

// Next returns a number that no request before had.
func (n *Numbering) Next() uint64 {
	n.last++
	return n.last
}
