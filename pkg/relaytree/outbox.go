package relaytree

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// outbox collects the messages to send in response to one input.
type outbox struct {
	messages []Outbound
}

func (o *outbox) send(to member.ID, msg Message) {
	o.messages = append(o.messages, Outbound{To: to, Message: msg})
}

// flush returns the messages and empties the outbox.
func (o *outbox) flush() []Outbound {
	messages := o.messages
	o.messages = nil
	return messages
}
