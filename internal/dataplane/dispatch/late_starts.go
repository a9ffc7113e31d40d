package dispatch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/logring"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// lateStartInterval is the minimum time between two messages of lateStarts.
const lateStartInterval = time.Second

// lateStarts logs attempts whose output began on weights whose deadline had passed. Other
// messages do not tell whether such an attempt was sent before the deadline, and waited at
// the replica, or was sent after it. It may be used concurrently.
type lateStarts struct {
	log *logrus.Entry

	mutex sync.Mutex
	// nextMessage is the earliest time of the next message. suppressed counts the attempts
	// since the last message that were not logged.
	nextMessage time.Duration
	suppressed  int
}

// began logs an attempt whose output has begun now, if the deadline of its replica's weights
// has passed. sentAt is when the attempt was sent.
func (l *lateStarts) began(now, sentAt time.Duration, replica routing.Replica) {
	if !replica.Outdated || now < replica.WeightsDeadline {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now < l.nextMessage {
		l.suppressed++
		return
	}
	logring.Incident(l.log, logring.OutdatedWeights).WithFields(logrus.Fields{
		"backend":        replica.Address,
		"weight_version": replica.WeightVersion,
		"began_after_ms": (now - replica.WeightsDeadline).Milliseconds(),
		"waited_ms":      (now - sentAt).Milliseconds(),
		"admitting":      replica.Admitting,
		"suppressed":     l.suppressed,
	}).Warn("a request began on weights whose deadline has passed; check why the replica does not load the named weights")
	l.suppressed = 0
	l.nextMessage = now + lateStartInterval
}
