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

// begin counts an attempt in. It precedes the last look at the newest view: control first
// publishes a view in which a back end does not admit and then reads the count, so one of
// the two sees the other.
func (f *inFlight) begin(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counts[address]++
}

// end counts an attempt out.
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
