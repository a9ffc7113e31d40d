// Package member defines the identities by which nodes refer to each other. The packages that
// coordinate nodes share these types, which have no behaviour and no state.
package member

// ID identifies a node for as long as its settings stay the same. Processes with the same ID
// are distinguished by their Incarnation.
type ID string

// Incarnation numbers the incarnations of a node. It grows with each start of the process,
// unless the wall clock was set back, and each time that the node has been fenced or
// superseded.
type Incarnation uint64

// Info is the information that a node sends to other nodes about itself.
type Info struct {
	ID ID
	// Address is the host and port of the node's internal listener.
	Address string
	// TrafficAddress is the host and port on which the node serves API callers.
	TrafficAddress string
	// ControlAddress is the host and port on which the node serves operators' requests.
	ControlAddress string
	// Zone is the failure domain of the node.
	Zone string
	// HoldsState reports whether the node has a disk and may store control state. The
	// status that operators read contains it as holds_state.
	HoldsState bool
	// Incarnation is the present incarnation of the node.
	Incarnation Incarnation
}
