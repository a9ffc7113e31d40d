package outbound

import (
	"fmt"
	"sync"
)

// ConnectionLimitError says that a back end has as many connections from this
// node as it may have. Nothing was sent to it.
type ConnectionLimitError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections that this node may have to %s are in use", e.Limit, e.Address)
}

// connectionLimiter counts the connections to each back end: those with and without a
// request, and those that are being opened. It is safe for concurrent use.
type connectionLimiter struct {
	mutex sync.Mutex
	// limit returns how many connections there may be, 0 for any number. Nil means no
	// bound.
	limit  func(address string) int
	counts map[string]int
}

func newConnectionLimiter() *connectionLimiter {
	return &connectionLimiter{counts: map[string]int{}}
}

// setLimit replaces the bound. Connections beyond it are not closed.
func (l *connectionLimiter) setLimit(limit func(address string) int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = limit
}

// reserve counts a connection that is to be opened. The error is a
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

// release takes a connection that was closed, or could not be opened, out of the count.
func (l *connectionLimiter) release(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[address]--
	if l.counts[address] == 0 {
		delete(l.counts, address)
	}
}
