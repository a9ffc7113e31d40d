// Package routing contains the immutable view of control state that traffic reads. The
// control machine builds a new View for every change and publishes it through an atomic
// pointer; nothing in a published View is ever written again, so that any goroutine may
// read it.
package routing

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// KeyDigest is the lower-case hexadecimal SHA-256 digest of a tenant's key.
type KeyDigest string

// Tenant is a tenant as admission reads it.
type Tenant struct {
	Name string
	// Walled reports whether the tenant shares cached chunks with no other one.
	Walled bool
	// SharingDomain separates cached chunks: tenants with equal domains may share them.
	// It changes with every epoch of a wall.
	SharingDomain string
	// Limits are the configured limits; read only.
	Limits *ridgeswitchv1.Limits
	// Priority outranks that of the route; nil if the tenant has none.
	Priority *uint32
}

// Replica is a back end of a pool or of a web service, as the platform's list
// and the service's shard describe it together.
type Replica struct {
	// Address is the host and port that requests go to.
	Address string
	// Instance is the platform's name of the incarnation that it lists at the address;
	// empty if it names none.
	Instance string
	// Zone is the zone that it is in; empty if that is not known.
	Zone string
	// Slots is how many requests it works on at once; 0 if that is not known.
	Slots int
	// SlowStartUntil is when its slow start ends, on the node's clock; zero if it is in
	// none.
	SlowStartUntil time.Duration
	// WeightVersion is the version that the replica confirmed; empty before that, when it
	// gets no requests, and always for the back ends of a web service.
	WeightVersion string
	// Admitting reports whether new requests may go to it: it is listed, not draining for
	// the platform or for a roll-out, and its zone is not evacuated.
	Admitting bool
}

// Pool is a pool with its present replicas, admitting or not.
type Pool struct {
	// Config is the configured pool; read only.
	Config   *ridgeswitchv1.Pool
	Replicas []Replica
	// Store is the pool's store, or nil.
	Store *ridgeswitchv1.Store
}

// WebService is a plain HTTP service with its present back ends.
type WebService struct {
	// Config is the configured service; read only.
	Config   *ridgeswitchv1.WebService
	Replicas []Replica
}

// Destination is where a route's requests go: exactly one field is set.
type Destination struct {
	Pool       *Pool
	WebService *WebService
}

// View is everything that traffic needs to know of control state.
type View struct {
	// Revision is the configuration's revision.
	Revision uint64
	// Configuration is the source of the maps below; read only.
	Configuration *ridgeswitchv1.Configuration
	// Tenants holds the tenant of each key.
	Tenants map[KeyDigest]*Tenant
	// Hosts holds the routes of each host name, in lower case and without a port.
	Hosts map[string]Routes
	// Pools and WebServices are by name.
	Pools       map[string]*Pool
	WebServices map[string]*WebService

	priorities priorities
}

// Configured reports whether the view has an operator's configuration. A view that has
// only evacuations or back ends does not say which requests are allowed.
func (v *View) Configured() bool {
	return v != nil && (len(v.Hosts) > 0 || v.Configuration.GetSource() != nil)
}

// Source is how traffic reaches control state.
type Source interface {
	// View returns the newest view, or nil before the first one.
	View() *View
	// Serving returns nil while the node may admit traffic, and otherwise why it may not, in
	// words for callers. Implementations must read a clock that counts suspended time, so
	// that a node which was frozen refuses before it serves anything out of date.
	Serving() error
}

// LoadReader is how control learns what traffic still sends to a back end.
type LoadReader interface {
	// InFlight returns how many attempts run on a back end through this node. Zero means
	// that the back end is drained only if it was read after the publication of a view in
	// which the back end does not admit: each attempt is counted in before it looks at the
	// newest view for the last time.
	InFlight(address string) int
}
