package dataplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// listAgainAfter is the least time between two lists of one back end, since a
	// list holds its work up.
	listAgainAfter = 2 * time.Second
	// heardWithin is how long a node waits for the reader of a back end to tell
	// what is kept there, before it lists that itself.
	heardWithin = 1500 * time.Millisecond
	// listsEachLook bounds the lists that a node begins at one look for back ends
	// that others read.
	listsEachLook = 2
)

// listings decides which back ends a node asks for everything that they keep:
// those whose changes it has not followed without a gap. Their history would not
// do: back ends remember the newest changes only.
type listings struct {
	mutex sync.Mutex
	// askedAt is when a back end was listed last.
	askedAt map[string]time.Duration
	// missingSince is when a back end that others read was first found not to be
	// known.
	missingSince map[string]time.Duration
}

func newListings() *listings {
	return &listings{
		askedAt:      make(map[string]time.Duration),
		missingSince: make(map[string]time.Duration),
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

// overdue returns, of the back ends that others read and that are not known here,
// a few that their readers have not told of in time.
func (l *listings) overdue(now time.Duration, missing []string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address := range l.missingSince {
		if !slices.Contains(missing, address) {
			delete(l.missingSince, address)
		}
	}
	var due []string
	for _, address := range missing {
		since, before := l.missingSince[address]
		if !before {
			l.missingSince[address] = now
			continue
		}
		if now-since >= heardWithin && len(due) < listsEachLook {
			due = append(due, address)
			l.missingSince[address] = now
		}
	}
	return due
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

// list takes in everything that a back end keeps. Told says to tell the others.
func (r *reportReaders) list(ctx context.Context, address string, told bool) error {
	bounded, cancel := context.WithTimeout(ctx, readWait+readPatience)
	defer cancel()
	page, err := r.reader.List(bounded, address)
	if err != nil {
		return err
	}
	report := sharedReport(address, 0, page)
	report.Whole = true
	r.server.takeReport(r.server.options.Clock(), report)
	if told {
		r.server.sharing.reported(report)
	}
	return nil
}

// catchUp lists back ends that others read, and whose readers have not told this
// node in time what is kept there.
func (r *reportReaders) catchUp(ctx context.Context, view *routing.View, owned map[string]bool) {
	now := r.server.options.Clock()
	var missing []string
	for address := range reportingBackends(view) {
		if !owned[address] && !r.server.router.PartsWhole(address) {
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	for _, address := range r.listings.overdue(now, missing) {
		go func() { _ = r.list(ctx, address, false) }()
	}
}
