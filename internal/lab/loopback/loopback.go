// Package loopback allots TCP ports of this machine to processes of tests and labs
// that need to know where to listen before they start.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// The allotted ports.
const (
	// FirstPort and LastPort bound the ports that are allotted. They lie below those
	// that systems give to outgoing connections (32768 and up on Linux, 49152 and up
	// elsewhere), so that no connection takes an allotted port before its listener.
	FirstPort = 12_000
	LastPort  = 31_999
	// processStride is the distance between the first ports of processes with
	// consecutive IDs. It has no factor in common with the number of ports.
	processStride = 251
)

// ErrNoPort means that every port was allotted or is in use.
var ErrNoPort = errors.New("loopback: every port is allotted or in use; end some of the processes that listen")

// Allotter allots each port once. It is safe for concurrent use.
type Allotter struct {
	mutex     sync.Mutex
	next      int
	remaining int
}

// NewAllotter returns an allotter whose first port is derived from a number, such as a
// process ID.
func NewAllotter(number int) *Allotter {
	const ports = LastPort - FirstPort + 1
	return &Allotter{next: (number % ports) * processStride % ports, remaining: ports}
}

// process allots the ports of this process.
var process = NewAllotter(os.Getpid())

// Port returns a port that this process was not given before, and on which nobody
// listens at any address of this machine.
func Port() (int, error) { return process.Port() }

// Address returns an address that joins an IP address of this machine and a port from
// Port.
func Address(ip string) (string, error) {
	port, err := Port()
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, strconv.Itoa(port)), nil
}

// Port returns a port that was not allotted before, and on which nobody listens at
// any address of this machine.
func (a *Allotter) Port() (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for a.remaining > 0 {
		port := FirstPort + a.next
		a.next = (a.next + 1) % (LastPort - FirstPort + 1)
		a.remaining--
		if unused(port) {
			return port, nil
		}
	}
	return 0, ErrNoPort
}

// unused reports whether nobody listens on a port. A listener at all addresses
// conflicts with one at any address.
func unused(port int) bool {
	listener, err := net.Listen("tcp", net.JoinHostPort("", strconv.Itoa(port)))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
