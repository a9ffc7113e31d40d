package listing

import "time"

// freshnessProof bounds the age of the current list. After this node was suspended or
// partitioned, the times at which messages arrived prove nothing, since messages may have
// been delayed. An answer to a numbered request is a proof: it was sent after the request,
// so its reading began no earlier than the time of the request minus the age in the answer.
type freshnessProof struct {
	// pending means that a proof is wanted and has not arrived.
	pending bool
	// number is the number of the requests for the wanted proof. sent is set once the
	// first of them was sent, at sentAt.
	number uint64
	sent   bool
	sentAt time.Duration
	// readAt is the earliest time at which the list may have been read, according to
	// the last proof. It is valid if present is set.
	readAt  time.Duration
	present bool
}

// request records that a new proof is wanted.
func (p *freshnessProof) request() {
	p.pending = true
	p.sent = false
	p.number++
}

// requestNumber returns the number for a request that is sent now, or 0 if no proof is
// pending.
func (p *freshnessProof) requestNumber(now time.Duration) uint64 {
	if !p.pending {
		return 0
	}
	if !p.sent {
		p.sent = true
		p.sentAt = now
	}
	return p.number
}

// receive handles a message with the current reading. The message is a proof if it answers
// one of the pending requests.
func (p *freshnessProof) receive(reading Reading) {
	if reading.AnswersRequest != 0 && reading.AnswersRequest == p.number && p.pending {
		p.prove(p.sentAt - reading.Age)
	}
}

// prove records that the current list was not read before readAt.
func (p *freshnessProof) prove(readAt time.Duration) {
	p.pending = false
	p.readAt = readAt
	p.present = true
}
