// Package lease holds the arithmetic of a command lease: how long the present
// holder may give commands, and how long its successor must wait before it
// may. Both sides measure on their own clocks, which need not agree; they must
// only run at nearly the same rate, and the Margin covers the difference.
//
// The holder counts from the instant at which it sent the round that a
// majority answered. The successor counts from the instant at which a majority
// had promised it the next term. Any two majorities share a member, and that
// member answered the holder before it promised to the successor, so the
// holder's count begins first and, by the two margins, ends first.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

// Timing is what holder and successor must agree on.
type Timing struct {
	// Duration is the nominal length of the lease.
	Duration time.Duration
	// Margin covers the difference of the rates of two clocks over Duration.
	// The holder stops earlier by it and the successor starts later by it.
	Margin time.Duration
}

// Check returns an error unless a holder could ever act under the timing. The
// zero Timing is valid and means that nobody may act.
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

// Holder tells how long a lease that a majority confirms may be used.
// The zero Holder was never confirmed.
type Holder struct {
	timing      Timing
	confirmed   bool
	confirmedAt time.Duration
}

// NewHolder returns a holder whose lease is not confirmed yet.
func NewHolder(timing Timing) Holder {
	return Holder{timing: timing}
}

// Confirm takes in that a majority answered a round sent at sentAt, on the
// holder's clock. Older rounds than the newest one confirmed change nothing.
func (h *Holder) Confirm(sentAt time.Duration) {
	if h.confirmed && sentAt <= h.confirmedAt {
		return
	}
	h.confirmed = true
	h.confirmedAt = sentAt
}

// Deadline returns the first instant at which the holder may no longer act.
// It is false while no round is confirmed.
func (h *Holder) Deadline() (deadline time.Duration, confirmed bool) {
	if !h.confirmed {
		return 0, false
	}
	return h.confirmedAt + h.timing.Duration - h.timing.Margin, true
}

// MayAct tells whether the lease can be used at now.
func (h *Holder) MayAct(now time.Duration) bool {
	deadline, confirmed := h.Deadline()
	return confirmed && now < deadline
}

// Successor tells when every lease of an earlier term has run out.
// The zero Successor took over nothing.
type Successor struct {
	timing    Timing
	elected   bool
	electedAt time.Duration
}

// NewSuccessor returns the successor that a majority had promised the term to
// at electedAt, on the successor's clock.
func NewSuccessor(timing Timing, electedAt time.Duration) Successor {
	return Successor{timing: timing, elected: true, electedAt: electedAt}
}

// ReadyAt returns the first instant at which the successor may act. It is
// false if the successor took over nothing.
func (s *Successor) ReadyAt() (readyAt time.Duration, elected bool) {
	if !s.elected {
		return 0, false
	}
	return s.electedAt + s.timing.Duration + s.timing.Margin, true
}

// MayAct tells whether all earlier leases have run out at now.
func (s *Successor) MayAct(now time.Duration) bool {
	readyAt, elected := s.ReadyAt()
	return elected && now >= readyAt
}
