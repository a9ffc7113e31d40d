package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
)

// backends is the platform's list of back ends as this node uses it. It changes with
// what the list's machine puts in force, and with nothing else.
type backends struct {
	services map[string][]listing.Replica
	// known tells that a list has been put in force.
	known bool
}

func newBackends() backends {
	return backends{services: map[string][]listing.Replica{}}
}

// set puts a list in force.
func (b *backends) set(replicas []listing.Replica) {
	b.services = map[string][]listing.Replica{}
	for _, replica := range replicas {
		b.services[replica.Service] = append(b.services[replica.Service], replica)
	}
	b.known = true
}
