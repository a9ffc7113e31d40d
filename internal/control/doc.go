// Package control is the control state of a node as one state machine: which
// configuration and which weights are in force, which nodes serve, and what operators
// learn of it.
//
// Inputs of Machine are messages of other nodes, elapsed time, operators' requests,
// finished writes, readings of the platform's list, and what replicas report. Its Output
// is what the node has to do: messages to send, records to write, replies, commands to
// replicas, and a new view for traffic. Machine does no I/O, starts no goroutine and
// reads no clock, so that package driver in a daemon and the simulator run the same code.
// It is not safe for concurrent use.
//
// Machine only composes; each concern is a machine of its own below this package, with
// its own state, inputs and outputs:
//
//	state                                     owner
//	log and replicated state of a shard       shards.Shard, with its replication.Group
//	writes and proposals of a shard           shards.Shard
//	newest state of each shard, as relayed    shardstate.Received
//	who is alive, and where                   memberTable (pkg/membership)
//	which node leads a shard                  leaders.Directory
//	requests of operators without a reply     requests.Client
//	changes without acknowledgement, reads    requests.Leader
//	this node's registrations                 registration.Client
//	challenges of nodes that register         registration.Registrar
//	revisions that this node serves           confirmation.Local
//	revisions that all nodes serve            confirmation.Table
//	how far the newest states have come       confirmation.Disseminator
//	searches for lost shards, observed terms  recovery.Machine
//	roll-outs, commands, replicas' reports    rollout.Machine
//	the platform's list                       listing.Machine; as used by the node: backends
//	deadlines of named weights                view.Builder
//	the way of states to all nodes            relaytree.Machine
//
// Few of these machines know another: leaders.Directory and shardstate.Received are shared
// by those that need them, and Disseminator reads the Table. What one needs of a shard, it
// names in an interface that hostedShard implements; messages go through
// protocol.Transport. A message of the node to itself is handled at once, so that a leader
// treats its own node like any other.
package control
