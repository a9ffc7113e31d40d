// Package member defines the identities by which nodes name each other. The coordination
// packages share it; it has no behaviour and no state.
package member

// ID names a node for as long as its settings stay the same. Two processes with one ID
// are told apart by their Incarnation.
type ID string

// Incarnation orders the incarnations of a node. It grows with each start of the process,
// and each time that the node has been fenced or superseded.
type Incarnation uint64

// Info is what a node tells others about itself.
type Info struct {
	ID ID
	// Address is the host and port of the node's internal listener.
	Address string
	// TrafficAddress is the host and port on which the node serves callers.
	TrafficAddress string
	// ControlAddress is the host and port on which the node serves operators.
	ControlAddress string
	// Zone is the failure domain of the node.
	Zone string
	// HoldsState tells whether the node has a disk and may store control state. The
	// status that operators read has a field of this name.
	HoldsState bool
	// Incarnation is the present incarnation of the node.
	Incarnation Incarnation
}
