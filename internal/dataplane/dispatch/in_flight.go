package dispatch

import "sync"

// inFlight counts the attempts that are running on each back end.
type inFlight struct {
	mutex  sync.Mutex
	counts map[string]int
}

// newInFlight returns counts of zero.
func newInFlight() *inFlight {
	return &inFlight{counts: make(map[string]int)}
}

// begin counts an attempt as in flight. The dispatcher calls it before it checks the newest
// view for the last time. Control first publishes a view in which a back end admits no
// requests and then reads the count, so either the dispatcher sees the new view, or control
// sees the attempt.
func (f *inFlight) begin(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counts[address]++
}

// end removes an attempt from the count.
func (f *inFlight) end(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
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
