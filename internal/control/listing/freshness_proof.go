package listing

import "time"

// freshnessProof bounds how old the list in force is. The times at which messages arrived
// are no measure after this node was suspended or partitioned, as messages may have been
// delayed. A reading that answers a numbered request is younger than the request plus the
// age that it travels with.
type freshnessProof struct {
	// pending means that a proof is asked for.
	pending bool
	// number is that of the requests for it, and sentAt when the first was sent.
	number uint64
	sent   bool
	sentAt time.Duration
	// readAt is when the list was read at the earliest, as of the last proof.
	readAt  time.Duration
	present bool
}

// request asks for a new proof.
func (p *freshnessProof) request() {
	p.pending = true
	p.sent = false
	p.number++
}

// requestNumber returns the number of a request that is about to be sent, or 0 if no proof
// is asked for.
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

// receive takes a reading that is in force, and is a proof if it answers the present
// requests.
func (p *freshnessProof) receive(reading Reading) {
	if reading.AnswersRequest != 0 && reading.AnswersRequest == p.number && p.pending {
		p.prove(p.sentAt - reading.Age)
	}
}

// prove records that the list in force was not read before an instant.
func (p *freshnessProof) prove(readAt time.Duration) {
	p.pending = false
	p.readAt = readAt
	p.present = true
}
