package outbound

import (
	"fmt"
	"sync"
)

// ConnectionsSpentError says that a back end has as many connections from this
// node as it may have. Nothing was sent to it.
type ConnectionsSpentError struct {
	Address string
	Limit   int
}

// Error implements error.
func (e *ConnectionsSpentError) Error() string {
	return fmt.Sprintf("all %d connections that this node may have to %s are in use", e.Limit, e.Address)
}

// openConnections counts the connections to each back end, with and without a
// request, and those that are coming about.
type openConnections struct {
	mutex sync.Mutex
	// limit returns how many there may be; 0 for any number. Nil means no bound.
	limit  func(address string) int
	counts map[string]int
}

func newOpenConnections() *openConnections {
	return &openConnections{counts: map[string]int{}}
}

// setLimit replaces the bound. Connections beyond it are not closed.
func (o *openConnections) setLimit(limit func(address string) int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.limit = limit
}

// reserve counts a connection that is to be opened. The error is a
// *ConnectionsSpentError.
func (o *openConnections) reserve(address string) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.limit != nil {
		if most := o.limit(address); most > 0 && o.counts[address] >= most {
			return &ConnectionsSpentError{Address: address, Limit: most}
		}
	}
	o.counts[address]++
	return nil
}

// release counts a connection out.
func (o *openConnections) release(address string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.counts[address]--
	if o.counts[address] == 0 {
		delete(o.counts, address)
	}
}
