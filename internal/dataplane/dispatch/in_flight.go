package dispatch

import "sync"

// inFlight counts the attempts that are running on each back end, and bounds their number.
type inFlight struct {
	// limit bounds the attempts on all back ends together; 0 means no limit.
	limit int

	mutex  sync.Mutex
	counts map[string]int
	total  int
}

// newInFlight returns counts of zero.
func newInFlight(limit int) *inFlight {
	return &inFlight{limit: limit, counts: make(map[string]int)}
}

// begin counts an attempt as in flight, or returns false if there are as many as there may be. The dispatcher calls it before it checks the newest
// view for the last time. Control first publishes a view in which a back end admits no
// requests and then reads the count, so either the dispatcher sees the new view, or control
// sees the attempt.
func (f *inFlight) begin(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.limit > 0 && f.total >= f.limit {
		return false
	}
	f.total++
	f.counts[address]++
	return true
}

// end removes an attempt from the count.
func (f *inFlight) end(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.total--
	f.counts[address]--
	if f.counts[address] == 0 {
		delete(f.counts, address)
	}
}

// count returns how many attempts are running on a back end.
func (f *inFlight) count(address string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counts[address]
}
