package listing

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// outbox owns the messages to send after an input, in sending order.
type outbox struct{ sends []Outbound }

func (o *outbox) sendReading(to member.ID, reading Reading) {
	o.sends = append(o.sends, Outbound{To: to, Message: Message{Reading: &reading}})
}

func (o *outbox) sendRequest(to member.ID, request Request) {
	o.sends = append(o.sends, Outbound{To: to, Message: Message{Request: &request}})
}

// take returns and removes the queued messages.
func (o *outbox) take() []Outbound {
	sends := o.sends
	o.sends = nil
	return sends
}
