package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
)

// ReplicaReport is what a replica said of itself when it was asked.
type ReplicaReport struct {
	Address string
	// Instance names the incarnation that answered, as the list does; empty if the
	// replica does not tell it.
	Instance string
	// Incarnation numbers it, where replicas do that; else 0.
	Incarnation uint64
	// WeightVersion is empty while other weights are being loaded.
	WeightVersion string
	// Busy tells that a command is under way.
	Busy bool
	// Sequence counts the commands that the incarnation took; 0 if unknown.
	Sequence uint64
	// ActiveRequests counts requests that run or wait on the replica.
	ActiveRequests int
	// Age is how old the numbers may have been when the replica was asked. It is
	// part of MeasuredAt.
	Age time.Duration
	// MeasuredAt is when the replica took the numbers, which may be well
	// before they arrived.
	MeasuredAt time.Duration
}

// backends is what this node knows of back ends from outside control state.
type backends struct {
	services       map[string][]listing.Replica
	endpointsKnown bool
	reports        map[string]ReplicaReport
	reportRequests map[string]*reportRequestState
	viewStale      bool
}

func newBackends() backends {
	return backends{
		services:       map[string][]listing.Replica{},
		reports:        map[string]ReplicaReport{},
		reportRequests: map[string]*reportRequestState{},
		viewStale:      true,
	}
}

// setReplicas takes a changed list, and forgets what is known of replicas that left
// it.
func (b *backends) setReplicas(replicas []listing.Replica) {
	b.services = map[string][]listing.Replica{}
	present := map[string]struct{}{}
	for _, replica := range replicas {
		b.services[replica.Service] = append(b.services[replica.Service], replica)
		present[replica.Address] = struct{}{}
	}
	for address := range b.reportRequests {
		if _, found := present[address]; !found {
			delete(b.reportRequests, address)
			delete(b.reports, address)
		}
	}
	b.endpointsKnown = true
	b.viewStale = true
}
