package dataplane

import (
	"context"
	"sync"
	"time"
)

// minFullReadInterval is the least time between two lists of one back end, since a list
// holds its work up.
const minFullReadInterval = 2 * time.Second

// fullReadLimiter bounds how often the reader of a back end asks it for everything that it
// keeps: when its changes were not followed without a gap. Its history would not do:
// back ends remember the newest changes only.
type fullReadLimiter struct {
	mutex sync.Mutex
	// readAt is when a back end was listed last.
	readAt map[string]time.Duration
}

func newFullReadLimiter() *fullReadLimiter {
	return &fullReadLimiter{
		readAt: make(map[string]time.Duration),
	}
}

// tryAcquire tells whether a back end may be listed now, and notes that it is.
func (l *fullReadLimiter) tryAcquire(now time.Duration, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if last, found := l.readAt[address]; found && now-last < minFullReadInterval {
		return false
	}
	l.readAt[address] = now
	return true
}

// retain forgets back ends that are not listed any more.
func (l *fullReadLimiter) retain(reporting map[string]string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address := range l.readAt {
		if _, found := reporting[address]; !found {
			delete(l.readAt, address)
		}
	}
}

// readFull takes in everything that a back end keeps, and tells the others.
func (r *reportReaders) readFull(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	defer cancel()
	page, err := r.reader.List(bounded, address)
	if err != nil {
		return err
	}
	report := gossipReport(address, 0, page)
	report.Complete = true
	r.server.applyReport(r.server.options.Clock(), report)
	r.server.updates.addReport(report)
	return nil
}
