// Package lease computes the times of a command lease: until when the present holder may
// issue commands, and from when its successor may do so. Both measure time on their own
// clocks, which may show different times but must run at nearly the same rate; Timing.Margin
// covers the difference in rate. Holder and Successor are not safe for concurrent use.
//
// The holder counts from the instant at which it sent the messages that a majority
// acknowledged. The successor counts from the instant at which a majority had voted for it
// in a later term. Any two majorities have a member in common, and that member acknowledged
// the holder's messages before it voted for the successor. So the holder's lease starts
// earlier and, by the two margins, ends before the successor may act.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

// Timing contains the settings of a lease. They must be the same for holder and successor.
type Timing struct {
	// Duration is the nominal length of the lease.
	Duration time.Duration
	// Margin covers the difference between the rates of two clocks over Duration. The
	// holder stops Margin before Duration has passed, and the successor starts Margin after
	// Duration has passed.
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

// Holder computes until when the lease holder may act. The zero Holder has no confirmed
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

// Confirm renews the lease after a majority acknowledged messages sent at sentAt, on the
// holder's clock. It changes nothing if messages sent later have already been confirmed.
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

// MayAct reports whether the holder may act at now.
func (h *Holder) MayAct(now time.Duration) bool {
	deadline, confirmed := h.Deadline()
	return confirmed && now < deadline
}

// Successor computes from when the leader of a term may act, because every lease of an
// earlier term has expired. The zero Successor isn't elected and may never act.
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

// MayAct reports whether the successor is elected and all earlier leases have expired at now.
func (s *Successor) MayAct(now time.Duration) bool {
	readyAt, elected := s.ReadyAt()
	return elected && now >= readyAt
}
