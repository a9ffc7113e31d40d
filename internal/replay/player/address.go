package player

import (
	"fmt"
	"net/netip"
)

// AddressError says that a node's address may not be used.
type AddressError struct {
	Address string
}

// Error names the remedy.
func (e *AddressError) Error() string {
	return fmt.Sprintf("the node address %q may not be used: give an IP number in 127.0.0.0/8 and a port, such as 127.1.1.11:7200; "+
		"replay goes to fleets on this machine only", e.Address)
}

// loopbackRange is where replay may go.
var loopbackRange = netip.MustParsePrefix("127.0.0.0/8")

// checkAddress returns an *AddressError for an address outside loopbackRange.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !loopbackRange.Contains(parsed.Addr()) || parsed.Port() == 0 {
		return &AddressError{Address: address}
	}
	return nil
}
