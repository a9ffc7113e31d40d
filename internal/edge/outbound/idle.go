package outbound

import (
	"sync"
	"time"
)

// sweepInterval is the interval at which expired idle connections are closed.
const sweepInterval = time.Second

// idleConnections holds the idle connections by address, the longest idle first. It is safe
// for concurrent use.
type idleConnections struct {
	// perAddress bounds the idle connections to one address.
	perAddress int

	mutex       sync.Mutex
	connections map[string][]*directConnection
	// sweeping means that a timer will call sweep. Such a timer runs as long as there are
	// idle connections.
	sweeping bool
}

func newIdleConnections(perAddress int) *idleConnections {
	return &idleConnections{perAddress: perAddress, connections: map[string][]*directConnection{}}
}

// put keeps a connection for reuse within reuseTime. It closes the connection if reuseTime is
// not positive or its address has perAddress idle connections.
func (i *idleConnections) put(connection *directConnection, reuseTime time.Duration) {
	connection.expires = time.Now().Add(reuseTime)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	idle := i.connections[connection.address]
	if reuseTime <= 0 || len(idle) >= i.perAddress {
		connection.close()
		return
	}
	i.connections[connection.address] = append(idle, connection)
	if !i.sweeping {
		i.sweeping = true
		time.AfterFunc(sweepInterval, i.sweep)
	}
}

// take removes and returns the most recently used connection to an address that has not
// expired, or returns nil.
func (i *idleConnections) take(address string) *directConnection {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for {
		idle := i.connections[address]
		if len(idle) == 0 {
			return nil
		}
		last := idle[len(idle)-1]
		idle[len(idle)-1] = nil
		i.connections[address] = idle[:len(idle)-1]
		if now.Before(last.expires) {
			return last
		}
		last.close()
	}
}

// sweep closes the expired connections, and starts the next timer if any are left.
func (i *idleConnections) sweep() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for address, idle := range i.connections {
		remaining := idle[:0]
		for _, connection := range idle {
			if now.Before(connection.expires) {
				remaining = append(remaining, connection)
			} else {
				connection.close()
			}
		}
		clear(idle[len(remaining):])
		i.connections[address] = remaining
		if len(remaining) == 0 {
			delete(i.connections, address)
		}
	}
	i.sweeping = len(i.connections) > 0
	if i.sweeping {
		time.AfterFunc(sweepInterval, i.sweep)
	}
}

// closeAll closes all idle connections.
func (i *idleConnections) closeAll() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, idle := range i.connections {
		for _, connection := range idle {
			connection.close()
		}
	}
	clear(i.connections)
}
