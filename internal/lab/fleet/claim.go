package fleet

import (
	"net"

	"github.com/pkg/errors"
)

// claimPort is listened on at the platform's address while a fleet runs. Deployments
// use fixed loopback addresses, so that two fleets at once would mix.
const claimPort = "7599"

// claim keeps other fleets of the same addresses from starting on this machine
// until it is closed.
func claim(topology *Topology) (net.Listener, error) {
	host, _, err := net.SplitHostPort(topology.Platform.Address)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's address")
	}
	address := net.JoinHostPort(host, claimPort)
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "another fleet is running on these loopback addresses: wait until it has ended (it holds %s)", address)
}
