// Package registration registers a node with the leader of each shard before the node serves
// under the shard, so that acknowledgements of changes wait for the node's confirmation.
//
// Client runs on the node that is to be registered. It owns the state of the node's
// registration with each shard. A node may serve under a shard in an incarnation only after
// the leader has committed its registration, and after the node has received at least the
// revision that was in force then.
//
// Registrar runs on the leader. It owns the challenges: before a node is registered, it must
// send back a number, which proves that messages reach it. The registered nodes themselves
// are replicated state of the shard. Registrar also finds the registered incarnations that
// have certainly ended (they were fenced, left, or were followed by a later one), so that no
// later leader waits for them.
//
// Neither type does I/O, reads a clock or is safe for concurrent use.
package registration
