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

// connectionLimiter counts the connections to each back end, with and without a
// request, and those that are coming about.
type connectionLimiter struct {
	mutex sync.Mutex
	// limit returns how many there may be; 0 for any number. Nil means no bound.
	limit  func(address string) int
	counts map[string]int
}

func newConnectionLimiter() *connectionLimiter {
	return &connectionLimiter{counts: map[string]int{}}
}

// setLimit replaces the bound. Connections beyond it are not closed.
func (o *connectionLimiter) setLimit(limit func(address string) int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.limit = limit
}

// reserve counts a connection that is to be opened. The error is a
// *ConnectionLimitError.
func (o *connectionLimiter) reserve(address string) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.limit != nil {
		if limit := o.limit(address); limit > 0 && o.counts[address] >= limit {
			return &ConnectionLimitError{Address: address, Limit: limit}
		}
	}
	o.counts[address]++
	return nil
}

// release counts a connection out.
func (o *connectionLimiter) release(address string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.counts[address]--
	if o.counts[address] == 0 {
		delete(o.counts, address)
	}
}
