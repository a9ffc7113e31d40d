// Package node composes a ridgeswitch node: control state, the transport between
// nodes, the data plane for callers, and the listener for operators.
//
// It owns the data folder (storage: the identity of the node, and a durable log for
// each shard), the lifetime of all parts, and the adapters by which control reaches
// the world outside: endpointLoader reads lists of back ends, commander sends commands
// to replicas, and gossipService spreads what the node knows of its traffic. Edges are
// the protocols with that world; native_edges.go holds those of the product.
//
// New builds the parts in the order in which they need each other, Run serves until
// its context ends, and then drains: readiness ends first, leadership is transferred,
// running requests finish within the drain time, and the node leaves the membership.
// Control, Ready and Reload may be called while Run runs.
package node
