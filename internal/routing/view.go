// Package routing contains the immutable view of control state that the data plane reads. The
// control plane builds a new View for every change and publishes it through an atomic pointer.
// A published View is never modified, so any goroutine may read it.
package routing

import (
	"math"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// KeyDigest is the lower-case hexadecimal SHA-256 digest of a tenant's key.
type KeyDigest string

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name string
	// Walled reports whether the tenant is isolated, that is, shares cached chunks with no
	// other tenant.
	Walled bool
	// SharingDomain identifies the tenants that may share cached chunks: those with the same
	// domain. A walled tenant gets a new domain each time it becomes walled. All other
	// tenants share one domain, which changes whenever one of them becomes walled or is
	// removed.
	SharingDomain string
	// Limits contains the configured limits; read-only.
	Limits *ridgeswitchv1.Limits
	// Priority takes precedence over that of the route; nil if the tenant has none.
	Priority *uint32
}

// Replica is a back end of a pool or of a web service. Its fields combine the platform's list
// and the state of the service's shard.
type Replica struct {
	// Address is the host and port that requests are sent to.
	Address string
	// Instance identifies the incarnation that the platform lists at the address; empty if
	// the platform does not identify it.
	Instance string
	// Zone is the zone of the replica; empty if unknown.
	Zone string
	// Slots is the number of requests that the replica processes concurrently; 0 if unknown.
	Slots int
	// SlowStartUntil is when the replica's slow start ends, on the node's clock; zero if it
	// is not in slow start.
	SlowStartUntil time.Duration
	// WeightVersion is the weight version that the replica runs according to the shard or the
	// platform's list. It is empty if unknown, and a replica of a pool then receives no
	// requests. It is always empty for a back end of a web service.
	WeightVersion string
	// Admitting reports whether new requests may be sent to the replica. It must be listed,
	// it must not be draining for the platform or a roll-out, and its zone must not be
	// evacuated. For a replica of a pool, package control/view sets further conditions.
	Admitting bool
	// Outdated reports whether the replica of a pool lacks a named weight version that has a
	// deadline. WeightsDeadline is then when the first of their deadlines passes, on the
	// node's clock; NoDeadline if all of them are waived.
	Outdated        bool
	WeightsDeadline time.Duration
}

// startMargin is how long after the deadline of its replica's weights a request may begin that was
// sent before it.
const startMargin = 1600 * time.Millisecond

// NoDeadline is a WeightsDeadline that never passes.
const NoDeadline = time.Duration(math.MaxInt64)

// AdmitsAt reports whether new requests may be sent to the replica at a time. The deadline of
// its weights passes without a newer view, so that a node which was suspended sends nothing
// by an old one.
func (r Replica) AdmitsAt(now time.Duration) bool {
	return r.Admitting && (!r.Outdated || now < r.WeightsDeadline)
}

// LatestStart returns until when a request that was sent to the replica may begin; false if its
// weights do not limit that.
func (r Replica) LatestStart() (time.Duration, bool) {
	if !r.Outdated || r.WeightsDeadline == NoDeadline {
		return 0, false
	}
	return r.WeightsDeadline + startMargin, true
}

// Pool is a pool with its current replicas, including those that are not admitting.
type Pool struct {
	// Config is the configured pool; read-only.
	Config   *ridgeswitchv1.Pool
	Replicas []Replica
	// Store is the pool's store; nil if it has none.
	Store *ridgeswitchv1.Store
}

// WebService is a plain HTTP service with its current back ends, including those that are not
// admitting.
type WebService struct {
	// Config is the configured service; read-only.
	Config   *ridgeswitchv1.WebService
	Replicas []Replica
}

// Destination is the pool or web service that receives a route's requests. Exactly one field
// is set.
type Destination struct {
	Pool       *Pool
	WebService *WebService
}

// View contains the control state that the data plane needs.
type View struct {
	// Revision is the configuration's revision.
	Revision uint64
	// Configuration is the configuration from which the maps below were built; read-only. The
	// replicas in the maps come from the platform's list and the shards.
	Configuration *ridgeswitchv1.Configuration
	// Tenants contains the tenant of each key.
	Tenants map[KeyDigest]*Tenant
	// Hosts contains the routes of each host, by host name in lower case and without a port.
	Hosts map[string]Routes
	// Pools and WebServices contain the pools and web services by name.
	Pools       map[string]*Pool
	WebServices map[string]*WebService

	priorities priorities
}

// Configured reports whether the view contains an operator's configuration. A view that
// contains only evacuations or back ends does not define which requests are allowed.
func (v *View) Configured() bool {
	return v != nil && (len(v.Hosts) > 0 || v.Configuration.GetSource() != nil)
}

// Source provides control state to the data plane.
type Source interface {
	// View returns the newest view, or nil before the first one.
	View() *View
	// Serving returns nil while the node may admit requests, and otherwise an error that
	// explains why it may not. The text of the error is returned to callers. Implementations
	// must read a clock that counts suspended time, so that a node that was frozen refuses
	// requests before it serves any with outdated control state.
	Serving() error
}

// LoadReader provides to the control plane the number of requests that run on a back end.
type LoadReader interface {
	// InFlight returns the number of attempts that this node has running on a back end. Zero
	// means that the back end is drained only if the call was made after the publication of
	// a view in which the back end is not admitting, because each attempt is counted before
	// it checks the newest view for the last time.
	InFlight(address string) int
}
