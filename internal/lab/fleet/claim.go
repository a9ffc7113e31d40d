package fleet

import (
	"net"

	"github.com/pkg/errors"
)

// claimPort is the port on which a running fleet listens at the platform's address, as a
// lock. Deployments use fixed loopback addresses, so processes of two fleets that run at
// the same time would connect to each other.
const claimPort = "7599"

// claim returns a listener that keeps other fleets with the same platform address from
// starting on this machine until the listener is closed.
func claim(topology *Topology) (net.Listener, error) {
	host, _, err := net.SplitHostPort(topology.Platform.Address)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's address")
	}
	address := net.JoinHostPort(host, claimPort)
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "another fleet is running on these loopback addresses: wait until it has ended (it holds %s)", address)
}
