package fleet

import (
	"net"

	"github.com/pkg/errors"
)

// claimAddress is held while a fleet runs. Deployments use fixed loopback
// addresses, so that two fleets at once would mix.
const claimAddress = "127.5.255.1:7599"

// claim keeps other fleets from starting on this machine until it is closed.
func claim() (net.Listener, error) {
	listener, err := net.Listen("tcp", claimAddress)
	return listener, errors.Wrapf(err, "another fleet is running on this machine's loopback addresses: wait until it has ended (it holds %s)", claimAddress)
}
