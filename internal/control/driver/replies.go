package driver

import "github.com/ridgeswitch/ridgeswitch/internal/control"

// replies owns the channels of those who wait for a reply of the machine, by the ticket of
// their request. It belongs to the control goroutine.
type replies struct {
	channels map[uint64]chan control.Reply
	// lastTicket is the number of the newest request.
	lastTicket uint64
}

// register returns the ticket of a request whose reply goes to a channel with room for it.
func (r *replies) register(channel chan control.Reply) uint64 {
	r.lastTicket++
	r.channels[r.lastTicket] = channel
	return r.lastTicket
}

// remove returns the ticket of the request whose reply a channel waits for, and waits for
// it no more. It is false if the reply has been delivered.
func (r *replies) remove(channel chan control.Reply) (ticket uint64, waiting bool) {
	for ticket, other := range r.channels {
		if other == channel {
			delete(r.channels, ticket)
			return ticket, true
		}
	}
	return 0, false
}

// deliver hands a reply to whoever waits for it.
func (r *replies) deliver(reply control.Reply) {
	channel, waiting := r.channels[reply.Ticket]
	if !waiting {
		return
	}
	delete(r.channels, reply.Ticket)
	channel <- reply
}
