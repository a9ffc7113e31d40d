package membership

import (
	"slices"
	"time"
)

// heartbeatLog records when each recent heartbeat was sent, since an acknowledgement counts
// from the time at which its heartbeat was sent. All heartbeats in the log belong to the
// present incarnation.
type heartbeatLog struct {
	// sequence numbers the heartbeats of this process.
	sequence uint64
	// sent are the heartbeats whose acknowledgement would still count, oldest first.
	sent []sentHeartbeat
}

// sentHeartbeat is a heartbeat that was sent to all targets at once.
type sentHeartbeat struct {
	sequence uint64
	at       time.Duration
}

// add records that the next heartbeat is sent at now, and returns its sequence number. It
// drops heartbeats that are maxAge old or older, whose acknowledgement would come too late.
func (l *heartbeatLog) add(now, maxAge time.Duration) (sequence uint64) {
	l.sequence++
	l.sent = append(l.sent, sentHeartbeat{sequence: l.sequence, at: now})
	l.sent = slices.DeleteFunc(l.sent, func(sent sentHeartbeat) bool { return now-sent.at >= maxAge })
	return l.sequence
}

// sentAt returns when a heartbeat was sent. It returns false for one that is too old
// or belongs to an earlier incarnation.
func (l *heartbeatLog) sentAt(sequence uint64) (time.Duration, bool) {
	for _, sent := range l.sent {
		if sent.sequence == sequence {
			return sent.at, true
		}
	}
	return 0, false
}

// clear drops the heartbeats of an incarnation that has ended.
func (l *heartbeatLog) clear() {
	l.sent = nil
}
