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
// Machine only composes. Each concern is a machine of its own below this package, with
// its own state, inputs and outputs; what it needs of its surroundings it names in an
// interface, which types of this package implement:
//
//	state                                     owner
//	messages to send                          outbox
//	log and replicated state of a shard       shards.Shard, with its replication.Group
//	writes and proposals of a shard           shards.Shard
//	hosted shards; groups of all shards       hostedShards
//	writes to make                            shardHost
//	newest state of each shard, as relayed    stateRelay: shardstate.Received
//	the way of states to all nodes            stateRelay: relaytree.Machine
//	who is alive, and where                   memberTable (pkg/membership)
//	which node leads a shard                  leaders.Directory
//	requests of operators without a reply     requests.Client
//	changes without acknowledgement, reads    requests.Leader
//	whole configurations that wait            requests.Leader
//	this node's registrations                 localRegistration: registration.Client
//	challenges of nodes that register         registration.Registrar
//	revisions that this node serves           localConfirmations: confirmation.Local
//	revisions that all nodes serve            confirmation.Table
//	how far the newest states have come       confirmation.Disseminator
//	searches for lost shards, observed terms  recovery.Machine
//	roll-outs, commands, replicas' reports    rollout.Machine
//	the platform's list                       localEndpoints: listing.Machine
//	the list as the node uses it              localEndpoints: backends, endpointFreshness
//	versions of weights and since when        view.Builder: namedweights.Tracker
//	ages of weights that are replicated       shards.Shard: shardstate.Service
//	whether the view is stale                 viewRefresher
//
// Few of these machines know another: leaders.Directory and shardstate.Received are shared
// by those that need them, and Disseminator reads the Table. What one needs of a shard,
// hostedShard gives it; messages go through protocol.Transport, which outbox implements. A
// message of the node to itself is handled at once, so that a leader treats its own node
// like any other.
//
// machine.go has all inputs and the pass that collects the output, queries.go and status.go
// what may be asked of the machine, build.go how the parts are put together.
package control
