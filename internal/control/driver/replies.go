package driver

import "github.com/ridgeswitch/ridgeswitch/internal/control"

// replies contains the channels of the callers that wait for a reply from the machine, by the
// ticket of the request. It belongs to the control goroutine.
type replies struct {
	channels map[uint64]chan control.Reply
	// lastTicket is the ticket of the newest request.
	lastTicket uint64
}

// register returns a ticket for a new request, whose reply is sent to channel. The channel
// must have buffer space for it, so that deliver does not block.
func (r *replies) register(channel chan control.Reply) uint64 {
	r.lastTicket++
	r.channels[r.lastTicket] = channel
	return r.lastTicket
}

// remove removes a channel and returns the ticket of its request. Waiting is false if the
// reply has been delivered already.
func (r *replies) remove(channel chan control.Reply) (ticket uint64, waiting bool) {
	for ticket, other := range r.channels {
		if other == channel {
			delete(r.channels, ticket)
			return ticket, true
		}
	}
	return 0, false
}

// deliver sends a reply to the caller that waits for it, if there still is one.
func (r *replies) deliver(reply control.Reply) {
	channel, waiting := r.channels[reply.Ticket]
	if !waiting {
		return
	}
	delete(r.channels, reply.Ticket)
	channel <- reply
}
