package outbound

import (
	"sync"
	"time"
)

// sweepEvery is the interval at which connections that expired are closed.
const sweepEvery = time.Second

// idleConnections are the connections that carry no request, by address, the
// longest idle first.
type idleConnections struct {
	perAddress int

	mutex       sync.Mutex
	connections map[string][]*directConnection
	sweeping    bool
}

func newIdleConnections(perAddress int) *idleConnections {
	return &idleConnections{perAddress: perAddress, connections: map[string][]*directConnection{}}
}

// put keeps a connection for a time.
func (i *idleConnections) put(connection *directConnection, keep time.Duration) {
	connection.expires = time.Now().Add(keep)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	kept := i.connections[connection.address]
	if keep <= 0 || len(kept) >= i.perAddress {
		connection.close()
		return
	}
	i.connections[connection.address] = append(kept, connection)
	if !i.sweeping {
		i.sweeping = true
		time.AfterFunc(sweepEvery, i.sweep)
	}
}

// take returns the connection that was used last, or nil.
func (i *idleConnections) take(address string) *directConnection {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for {
		kept := i.connections[address]
		if len(kept) == 0 {
			return nil
		}
		last := kept[len(kept)-1]
		kept[len(kept)-1] = nil
		i.connections[address] = kept[:len(kept)-1]
		if now.Before(last.expires) {
			return last
		}
		last.close()
	}
}

// sweep closes the connections that expired, as long as there are any.
func (i *idleConnections) sweep() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for address, kept := range i.connections {
		still := kept[:0]
		for _, connection := range kept {
			if now.Before(connection.expires) {
				still = append(still, connection)
			} else {
				connection.close()
			}
		}
		clear(kept[len(still):])
		i.connections[address] = still
		if len(still) == 0 {
			delete(i.connections, address)
		}
	}
	i.sweeping = len(i.connections) > 0
	if i.sweeping {
		time.AfterFunc(sweepEvery, i.sweep)
	}
}

// closeAll closes all connections.
func (i *idleConnections) closeAll() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, kept := range i.connections {
		for _, connection := range kept {
			connection.close()
		}
	}
	clear(i.connections)
}
