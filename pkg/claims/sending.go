package claims

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// begin starts a round: the first one asks, all others renew.
func (m *Machine) begin(now time.Duration, begun *claim) []Outbound {
	begun.round = m.nextRound(now, begun)
	begun.nextSend = now + m.config.ResendEvery
	return m.deliver(now, m.messages(begun, begun.asking()))
}

// nextRound returns an empty round to the homes of the present directory.
func (m *Machine) nextRound(now time.Duration, begun *claim) round {
	return round{
		number:  begun.round.number + 1,
		epoch:   m.directory.epoch(),
		sentAt:  now,
		homes:   m.directory.homes(begun.key, m.config.Copies),
		answers: make(map[member.ID]Kind),
	}
}

// asking returns the kind of message by which a claim speaks to its homes.
func (c *claim) asking() Kind {
	if c.held {
		return Renew
	}
	return Ask
}

// resend repeats the round's message to homes that have not granted. One that
// was not ready may be so now.
func (m *Machine) resend(now time.Duration, silent *claim) []Outbound {
	silent.nextSend = now + m.config.ResendEvery
	var again []Outbound
	for _, message := range m.messages(silent, silent.asking()) {
		if silent.round.answers[message.To] != Granted {
			again = append(again, message)
		}
	}
	return m.deliver(now, again)
}

// messages returns a message to every home of a claim's round.
func (m *Machine) messages(about *claim, kind Kind) []Outbound {
	var out []Outbound
	for _, id := range about.round.everyone() {
		out = append(out, Outbound{To: id, Message: Message{
			Kind: kind, Key: about.key, Life: m.config.Life, Number: about.number, Round: about.round.number, Epoch: about.round.epoch,
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
