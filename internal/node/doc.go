// Package node composes a ridgeswitch node: control state, the transport between
// nodes, the data plane for callers, and the listener for operators.
//
// It owns the data folder (storage: the identity of the node, and a durable log for
// each shard), the lifetime of all components, and the adapters between control and
// external systems: endpointLoader reads lists of back ends, commander sends commands
// to replicas, and gossipService distributes what the node knows about its traffic.
// Edges are the protocols with external systems; native_edges.go implements the
// product's own protocols.
//
// New builds the components in the order of their dependencies. Run serves until its
// context ends, and then drains the node: the readiness check starts to fail, leadership
// is transferred, running requests finish within the drain time, and the node leaves the
// membership.
// Control, Ready and Reload may be called while Run runs.
package node
