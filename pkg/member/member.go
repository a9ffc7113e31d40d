// Package member holds the identities by which nodes name each other. It is
// shared by the coordination packages and has no behaviour of its own.
package member

// ID names a node for as long as its settings stay the same. Two processes
// that claim one ID are told apart by their Incarnation.
type ID string

// Incarnation orders the lives of a node: it grows with each start of the
// process, and with each refutation of a false suspicion.
type Incarnation uint64

// Info is what a node tells others of itself.
type Info struct {
	ID ID
	// Address is the host and port of the node's internal listener.
	Address string
	// TrafficAddress is the host and port on which the node serves callers.
	TrafficAddress string
	// ControlAddress is the host and port on which the node serves operators.
	ControlAddress string
	// Zone is the failure domain that the node stands in.
	Zone string
	// HoldsState tells whether the node has a disk and may hold control state.
	HoldsState bool
	// Incarnation is the current life of the node.
	Incarnation Incarnation
}
