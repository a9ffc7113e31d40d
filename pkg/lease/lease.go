// Package lease computes the times of a command lease: until when the present holder may
// give commands, and from when its successor may. Both sides measure on their own clocks,
// which need not agree; they must only run at nearly the same rate, and the Margin covers
// the difference. Holder and Successor are plain values, which their owner guards.
//
// The holder counts from the instant at which it sent the messages that a majority
// acknowledged. The successor counts from the instant at which a majority had voted for it
// in the next term. Any two majorities share a member, and that member acknowledged the
// holder's message before it voted for the successor. So the holder's lease starts first
// and, by the two margins, ends before the successor acts.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

// Timing is the part of the settings on which holder and successor must agree.
type Timing struct {
	// Duration is the nominal length of the lease.
	Duration time.Duration
	// Margin covers the difference of the rates of two clocks over Duration. The holder
	// stops earlier by it, and the successor starts later by it.
	Margin time.Duration
}

// Check returns an error if no holder could ever act under the timing. The zero Timing is
// valid and means that nobody may act.
func (t Timing) Check() error {
	if t == (Timing{}) {
		return nil
	}
	if t.Margin < 0 {
		return errors.Errorf("lease margin %v is negative: give a margin of zero or more", t.Margin)
	}
	if t.Duration <= t.Margin {
		return errors.Errorf("lease duration %v does not exceed its margin %v: give a longer duration", t.Duration, t.Margin)
	}
	return nil
}

// Holder tells the lease holder until when it may act. The zero Holder has no confirmed
// lease.
type Holder struct {
	timing    Timing
	confirmed bool
	// confirmedAt is when the newest message that a majority acknowledged was sent.
	confirmedAt time.Duration
}

// NewHolder returns a holder whose lease isn't confirmed yet.
func NewHolder(timing Timing) Holder {
	return Holder{timing: timing}
}

// Confirm renews the lease: a majority acknowledged messages sent at sentAt, on the
// holder's clock. It changes nothing if later ones were acknowledged already.
func (h *Holder) Confirm(sentAt time.Duration) {
	if h.confirmed && sentAt <= h.confirmedAt {
		return
	}
	h.confirmed = true
	h.confirmedAt = sentAt
}

// Deadline returns the first instant at which the holder may no longer act. It returns
// false if the lease was never confirmed.
func (h *Holder) Deadline() (deadline time.Duration, confirmed bool) {
	if !h.confirmed {
		return 0, false
	}
	return h.confirmedAt + h.timing.Duration - h.timing.Margin, true
}

// MayAct tells whether the holder may act at now.
func (h *Holder) MayAct(now time.Duration) bool {
	deadline, confirmed := h.Deadline()
	return confirmed && now < deadline
}

// Successor tells the leader of a term from when every lease of an earlier term has
// expired. The zero Successor isn't elected and may never act.
type Successor struct {
	timing    Timing
	elected   bool
	electedAt time.Duration
}

// NewSuccessor returns the successor that a majority had voted for at electedAt, on the
// successor's clock.
func NewSuccessor(timing Timing, electedAt time.Duration) Successor {
	return Successor{timing: timing, elected: true, electedAt: electedAt}
}

// ReadyAt returns the first instant at which the successor may act. It returns false if
// the successor isn't elected.
func (s *Successor) ReadyAt() (readyAt time.Duration, elected bool) {
	if !s.elected {
		return 0, false
	}
	return s.electedAt + s.timing.Duration + s.timing.Margin, true
}

// MayAct tells whether all earlier leases have expired at now.
func (s *Successor) MayAct(now time.Duration) bool {
	readyAt, elected := s.ReadyAt()
	return elected && now >= readyAt
}
