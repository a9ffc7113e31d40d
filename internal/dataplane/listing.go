package dataplane

import (
	"context"
	"sync"
	"time"
)

// listAgainAfter is the least time between two lists of one back end, since a list
// holds its work up.
const listAgainAfter = 2 * time.Second

// listings bounds how often the reader of a back end asks it for everything that it
// keeps: when its changes were not followed without a gap. Its history would not do:
// back ends remember the newest changes only.
type listings struct {
	mutex sync.Mutex
	// askedAt is when a back end was listed last.
	askedAt map[string]time.Duration
}

func newListings() *listings {
	return &listings{
		askedAt: make(map[string]time.Duration),
	}
}

// take tells whether a back end may be listed now, and notes that it is.
func (l *listings) take(now time.Duration, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if asked, before := l.askedAt[address]; before && now-asked < listAgainAfter {
		return false
	}
	l.askedAt[address] = now
	return true
}

// retain forgets back ends that are not listed any more.
func (l *listings) retain(listed map[string]string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address := range l.askedAt {
		if _, stays := listed[address]; !stays {
			delete(l.askedAt, address)
		}
	}
}

// list takes in everything that a back end keeps, and tells the others.
func (r *reportReaders) list(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, readWait+readPatience)
	defer cancel()
	page, err := r.reader.List(bounded, address)
	if err != nil {
		return err
	}
	report := sharedReport(address, 0, page)
	report.Whole = true
	r.server.takeReport(r.server.options.Clock(), report)
	r.server.sharing.reported(report)
	return nil
}
