// Package registration has the leader of each shard register a node before the node
// serves under the shard, so that acknowledgements wait for it.
//
// Client is the side of the node that is to be registered. It owns where the node stands
// with each shard. A node may serve under a shard in an incarnation only after the
// leader has committed its registration, and after it holds at least the revision that
// was in force then.
//
// Registrar is the side of the leader. It owns the challenges: a node must send a number
// back before it is registered, which proves that messages reach it. The registered nodes
// themselves are replicated state of the shard. Registrar also finds the registered
// incarnations that have certainly ended (fencing), so that no later leader waits for
// them.
//
// Neither type does I/O, reads a clock or is safe for concurrent use.
package registration
