package claims

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// startAttempt starts a round: the first one asks, all others renew.
func (m *Machine) startAttempt(now time.Duration, begun *claim) []Outbound {
	begun.attempt = m.newAttempt(now, begun)
	begun.nextSendAt = now + m.config.ResendInterval
	return m.deliver(now, m.messages(begun, begun.requestKind()))
}

// newAttempt returns an empty round to the homes of the present directory.
func (m *Machine) newAttempt(now time.Duration, begun *claim) attempt {
	return attempt{
		number:  begun.attempt.number + 1,
		epoch:   m.directory.epoch(),
		sentAt:  now,
		homes:   m.directory.homes(begun.key, m.config.HomesPerKey),
		replies: make(map[member.ID]Kind),
	}
}

// requestKind returns the kind of message by which a claim speaks to its homes.
func (c *claim) requestKind() Kind {
	if c.acquired {
		return Renew
	}
	return Acquire
}

// resend repeats the round's message to homes that have not granted. One that
// was not ready may be so now.
func (m *Machine) resend(now time.Duration, silent *claim) []Outbound {
	silent.nextSendAt = now + m.config.ResendInterval
	var again []Outbound
	for _, message := range m.messages(silent, silent.requestKind()) {
		if silent.attempt.replies[message.To] != Granted {
			again = append(again, message)
		}
	}
	return m.deliver(now, again)
}

// messages returns a message to every home of a claim's round.
func (m *Machine) messages(about *claim, kind Kind) []Outbound {
	var out []Outbound
	for _, id := range about.attempt.allHomes() {
		out = append(out, Outbound{To: id, Message: Message{
			Kind: kind, Key: about.key, Incarnation: m.config.Incarnation, Number: about.number, Attempt: about.attempt.number, Epoch: about.attempt.epoch,
		}})
	}
	return out
}

// deliver takes in at once what the node sends to itself, and returns the rest.
func (m *Machine) deliver(now time.Duration, messages []Outbound) []Outbound {
	var out []Outbound
	for _, message := range messages {
		if message.To == m.config.Self {
			out = append(out, m.Step(now, m.config.Self, message.Message)...)
			continue
		}
		out = append(out, message)
	}
	return out
}
