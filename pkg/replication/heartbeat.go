package replication

import "time"

// heartbeats contains the heartbeats of one leadership, numbered from 1 in the order of
// sending. When a majority acknowledges a heartbeat, the leader had not been replaced before
// it was sent.
type heartbeats struct {
	// number and sentAt belong to the newest heartbeat.
	number uint64
	sentAt time.Duration
	// lastIndex is the last index of the log when the newest heartbeat was sent.
	lastIndex uint64
	// unconfirmed are the heartbeats that no majority has acknowledged yet, oldest first.
	unconfirmed []sentHeartbeat
}

type sentHeartbeat struct {
	number uint64
	sentAt time.Duration
}

// begin records a new heartbeat that is sent now.
func (h *heartbeats) begin(now time.Duration) {
	h.number++
	h.sentAt = now
	h.unconfirmed = append(h.unconfirmed, sentHeartbeat{number: h.number, sentAt: now})
}

// confirm removes the heartbeats up to the number that a majority has acknowledged, and
// returns when the newest of them was sent. It returns false if there are none.
func (h *heartbeats) confirm(acknowledged uint64) (sentAt time.Duration, confirmed bool) {
	for len(h.unconfirmed) > 0 && h.unconfirmed[0].number <= acknowledged {
		sentAt, confirmed = h.unconfirmed[0].sentAt, true
		h.unconfirmed = h.unconfirmed[1:]
	}
	return sentAt, confirmed
}
