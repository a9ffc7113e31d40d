// Package control implements the control state of a node as one state machine: which
// configuration and which weights are in force, which nodes serve, and what operators are
// told about both.
//
// The inputs of Machine are messages of other nodes, elapsed time, operators' requests,
// finished writes, readings of the platform's endpoint list, and reports of replicas. Its
// Output states what the node has to do: send messages, write records, reply to operators,
// send commands to replicas, and publish a new view to traffic. Machine does no I/O, starts
// no goroutine and reads no clock, so that package driver in a daemon and the simulator run
// the same code. It is not safe for concurrent use.
//
// Machine only composes other state machines. Each concern has its own, with its own state,
// inputs and outputs, mostly in a package below this one. What such a machine needs from the
// rest of the node it declares as an interface, which a type of this package implements.
// Each piece of state has one owner:
//
//	state                                       owner
//	messages to send                            outbox
//	log and replicated state of a shard         shards.Shard, with its replication.Group
//	writes and proposals of a shard             shards.Shard
//	hosted shards; groups of all shards         hostedShards
//	storage writes to make                      shardHost
//	newest state of each shard, as relayed      stateRelay: shardstate.Received
//	relay tree that brings states to all nodes  stateRelay: relaytree.Machine
//	live nodes and their addresses              memberTable (pkg/membership)
//	known leader of each shard                  leaders.Directory
//	operators' requests without a reply         requests.Client
//	changes without acknowledgement, reads      requests.Leader
//	changes of the whole configuration, queued  requests.Leader
//	this node's registrations                   localRegistration: registration.Client
//	challenges to nodes that register           registration.Registrar
//	revisions that this node serves             localConfirmations: confirmation.Local
//	revisions that all nodes serve              confirmation.Table
//	dissemination of the newest states          confirmation.Disseminator
//	recovery of lost shards, observed terms     recovery.Machine
//	roll-outs, commands, replicas' reports      rollout.Machine
//	the platform's endpoint list                localEndpoints: listing.Machine
//	the endpoint list as the node uses it       localEndpoints: backends, endpointFreshness
//	versions of weights and since when          view.Builder: namedweights.Tracker
//	ages of weights that are replicated         shards.Shard: shardstate.Service
//	whether the view is stale                   viewRefresher
//
// Few of these machines depend on each other: leaders.Directory and shardstate.Received are
// shared by those that need them, and confirmation.Disseminator reads confirmation.Table.
// hostedShard implements what the machines need from a shard. Messages go through
// protocol.Transport, which outbox implements. A message of the node to itself is handled at
// once, so that a leader treats its own node like any other.
//
// All inputs, and the function that collects the output, are in machine.go. Queries are in
// queries.go and status.go, and build.go connects the parts.
package control
