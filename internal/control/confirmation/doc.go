// Package confirmation knows which revisions the nodes serve, which is what
// acknowledgements and roll-outs wait for.
//
// Local owns what this node serves by itself: the revisions that traffic reads, and up to
// which of them no request is left on a replica that the revision keeps requests from.
// The node tells the leaders when that changes, and now and then.
//
// Table owns what all nodes have confirmed, in which incarnation, and what the leaders of
// shards on this node wait for. Every node with a disk keeps a table, so that a new leader
// need not ask; where nodes go on serving while partitioned, only leaders are told, and a
// new one asks.
//
// Disseminator owns how far the newest state of a shard that this node leads has come,
// where the membership and not a registry tells which nodes there are. It announces the
// leadership and sends states directly to nodes that the relay tree did not reach in
// time.
//
// No type does I/O, reads a clock or is safe for concurrent use.
package confirmation
