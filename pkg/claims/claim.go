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
	// deadline is when a claim that is still undecided is rejected.
	deadline time.Duration
	// validUntil is when the validity of an acquired claim ends, unless it is renewed.
	validUntil time.Duration
	// nextSendAt is when the message is sent again to the homes that have not granted, or
	// when the next attempt begins.
	nextSendAt time.Duration
	attempt    attempt
}

// requestKind returns the kind of message that requests or renews the claim at its homes.
func (c *claim) requestKind() Kind {
	if c.acquired {
		return Renew
	}
	return Acquire
}

// messages returns a message of the given kind to every home of the current attempt.
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
