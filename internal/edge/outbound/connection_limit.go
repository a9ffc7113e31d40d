package outbound

import (
	"fmt"
	"sync"
)

// ConnectionLimitError reports that all connections that this node may have to a back end are
// in use. Nothing of the request was sent.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections that this node may have to %s are in use", e.Limit, e.Address)
}

// connectionLimiter counts the connections to each back end, whether in use, idle or being
// opened. It is safe for concurrent use.
type connectionLimiter struct {
	mutex sync.Mutex
	// limit returns the most connections to an address, or 0 for no limit. If limit is nil,
	// no address has a limit.
	limit  func(address string) int
	counts map[string]int
}

func newConnectionLimiter() *connectionLimiter {
	return &connectionLimiter{counts: map[string]int{}}
}

// setLimit replaces the limit. Existing connections beyond the new limit are not closed.
func (l *connectionLimiter) setLimit(limit func(address string) int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = limit
}

// reserve counts a connection that is about to be opened. The error is a
// *ConnectionLimitError.
func (l *connectionLimiter) reserve(address string) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit != nil {
		if limit := l.limit(address); limit > 0 && l.counts[address] >= limit {
			return &ConnectionLimitError{Address: address, Limit: limit}
		}
	}
	l.counts[address]++
	return nil
}

// release removes a connection that was closed, or could not be opened, from the count.
func (l *connectionLimiter) release(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[address]--
	if l.counts[address] == 0 {
		delete(l.counts, address)
	}
}
