package reports

import (
	"context"
	"sync"
	"time"
)

// minFullReadInterval is the minimum time between two full reads of one back end. It is
// needed because a full read delays the back end's work.
const minFullReadInterval = 2 * time.Second

// fullReadLimiter limits the rate of full reads of each back end. A full read is needed when
// changes were missed, because back ends keep only the newest changes.
type fullReadLimiter struct {
	mutex sync.Mutex
	// readAt is the time of the last full read of each back end.
	readAt map[string]time.Duration
}

// newFullReadLimiter returns a limiter that has recorded no full read.
func newFullReadLimiter() *fullReadLimiter {
	return &fullReadLimiter{
		readAt: make(map[string]time.Duration),
	}
}

// tryAcquire reports whether a back end may be read in full now, and if so, records the time
// of the full read.
func (l *fullReadLimiter) tryAcquire(now time.Duration, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, found := l.readAt[address]; found && now-last < minFullReadInterval {
		return false
	}
	l.readAt[address] = now
	return true
}

// retain removes the back ends whose addresses are not among the keys of reporting.
func (l *fullReadLimiter) retain(reporting map[string]string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address := range l.readAt {
		if _, found := reporting[address]; !found {
			delete(l.readAt, address)
		}
	}
}

// readFull reads all chunks that a back end caches, applies them to the index and publishes
// them to the other nodes.
func (r *Readers) readFull(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	defer cancel()
	page, err := r.options.Reader.List(bounded, address)
	if err != nil {
		return err
	}
	report := reportOf(address, 0, page)
	report.Complete = true
	Apply(r.options.Router, r.options.Clock(), report)
	r.options.Publish(report)
	return nil
}
