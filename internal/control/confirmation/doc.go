// Package confirmation tracks which revisions of the shards the nodes serve. The
// acknowledgements of orders and the roll-outs of weights wait for these confirmations.
//
// Local owns what this node itself confirms: for each shard the revision that its traffic
// uses, and the newest drained revision, for which none of its requests is left on a replica
// that is out of service in the revision. The node sends both when they change, and
// periodically.
//
// Table owns what all nodes have confirmed, in which incarnation, and the revisions that
// the leaders of shards on this node wait for. Every node with a disk receives all
// confirmations in its table, so that a new leader need not ask for them. In fail-open mode,
// in which nodes go on serving while partitioned, only leaders receive confirmations, and a
// new leader asks for them.
//
// Disseminator is used only in fail-open mode, in which the membership and not a registry
// determines which nodes there are. It owns how far the newest states of the shards that this
// node leads have been distributed. It announces the leadership, and sends a state directly
// to nodes that the relay tree did not reach in time.
//
// No type does I/O, reads a clock or is safe for concurrent use.
package confirmation
