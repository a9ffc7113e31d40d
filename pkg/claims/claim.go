package claims

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// claim is a claim of this node.
type claim struct {
	number   Number
	key      Key
	acquired bool
	// deadline is when an undecided claim is given up.
	deadline time.Duration
	// validUntil is when an acquired claim is lost.
	validUntil time.Duration
	// nextSendAt is when homes that have not replied are sent the message again, or the
	// next attempt begins.
	nextSendAt time.Duration
	attempt    attempt
}

// requestKind returns the kind of message that the claim sends to its homes.
func (c *claim) requestKind() Kind {
	if c.acquired {
		return Renew
	}
	return Acquire
}

// messages returns a message to every home of the claim's attempt.
func (c *claim) messages(kind Kind, incarnation member.Incarnation) []Outbound {
	homes := c.attempt.allHomes()
	out := make([]Outbound, 0, len(homes))
	for _, id := range homes {
		out = append(out, Outbound{To: id, Message: Message{
			Kind: kind, Key: c.key, Incarnation: incarnation, Number: c.number, Attempt: c.attempt.number, Epoch: c.attempt.epoch,
		}})
	}
	return out
}
