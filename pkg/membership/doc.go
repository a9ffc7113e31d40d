// Package membership maintains the table of the nodes of a deployment. On each node, it
// answers two questions: must this node refuse traffic (is it fenced), and which other
// nodes certainly refuse traffic?
//
// The package is pure logic: Machine does no I/O, reads no clock and starts no
// goroutine. Its caller passes messages and ticks to it from one goroutine and sends the
// messages that it returns. All messages may be lost, duplicated, delayed and reordered.
//
// # Components and their state
//
// Machine consists of components; each owns its state:
//
//	state                                            owner
//	newest record of each member, indexes, digests   memberTable
//	seeds, progress of the join, deferred replies to
//	joining nodes                                    joiner
//	this node's incarnation, its monitor sets,
//	and the fence deadline                           selfMember: fence
//	when heartbeats were sent                        selfMember: heartbeatLog
//	peers that get heartbeats, and their replies     selfMember: monitorSelector
//	timers of the members that this node monitors,
//	and the reports that it made                     failureDetector
//	pending updates, detection of bulk changes       gossip
//	a member whose digest differed                   antiEntropy
//	schedule of probes                               prober
//	random number generator                          sampler
//	messages to send in response to this input       outbox
//
// A record reaches the table only through memberTable.merge, which notifies
// failureDetector and gossip of the change. Components read each other's state, mostly the
// table, and send messages only through the outbox. A component changes the state of
// another in only two ways: through memberTable.merge, and through
// memberTable.assumeStable when this node has joined. Machine.Tick and Machine.Step show
// the order in which the components run.
//
// # Protocol
//
// A node joins through its seeds and doesn't depend on them afterwards. Records are
// ordered by incarnation, version and state, and spread in three ways:
//
//   - Gossip: a node whose table changes sends the changed record to a few members, mostly
//     of its own zone, without waiting for the next heartbeat.
//   - Anti-entropy: heartbeats and their replies contain a digest of the table. If two
//     nodes' digests differ, they exchange the records that differ.
//   - Probes: at intervals, a node sends its digest to a random member, to a member that is
//     certainly fenced, and to a seed address at which no live member listens. Probes let
//     the two sides of a healed partition discover each other.
//
// A seed that started recently, or whose table is still growing, defers its replies to
// joining nodes until its table is stable. Monitors are also chosen only when the table is
// stable. Both rules keep the number of messages low when many nodes start at once.
//
// Each node declares a set of monitors: its successors on a hash ring, spread over the
// zones. It sends heartbeats to them. A heartbeat contains the node's record until a reply
// of the monitor shows that the monitor has the record. Each reply states the monitor set
// version in the monitor's table, so the guarantees below don't depend on the delivery of
// gossip. A node is fenced when too few monitors acknowledged heartbeats that it sent within
// the last FenceAfter. A monitor that received no heartbeat for FenceAfter+FenceMargin
// publishes a TimeoutReport.
//
// # Why a certain fence is correct
//
// An incarnation begins fenced, may then serve traffic, and ends when it is fenced again.
// The process continues under the next incarnation (FenceCount grows) with a new choice of
// monitors. It may serve only after the caller of this package has registered the new
// incarnation and has learned the current revision. A member whose set has n monitors needs
// acknowledgements of acksNeeded(n) of them to serve; reportsNeeded(n) is the smallest
// number of monitors whose loss leaves fewer. These invariants hold:
//
//  1. A TimeoutReport is a promise: the monitor process that made it never again
//     acknowledges this incarnation under this set version. failureDetector upholds the
//     promise: each reply states the newest version reported, and the member counts no
//     reply for versions up to that one (monitorSet.acknowledge). So a report stays valid
//     however old it is, even if its monitor dies or is suspended, and reports can be
//     merged in any order. Only the member can invalidate a report, by declaring a set
//     under a new version.
//  2. A monitor reports FenceAfter+FenceMargin after it last acknowledged the incarnation or
//     learned of the set, whichever is later. The acknowledgements of this monitor that the
//     member counts are for heartbeats that the member sent before that time. So these
//     acknowledgements have expired when the report is made, as long as clocks differ in
//     rate by less than FenceMargin/FenceAfter.
//  3. Hence, when reportsNeeded monitors of a set have reported the member, it is fenced
//     under this set and stays fenced.
//  4. A member that replaces a set must satisfy both sets (fence.update): it is fenced when
//     either lacks its majority. All monitors of the new set count as having acknowledged
//     when the set is declared; 2 makes this safe. The old set is dropped when acksNeeded
//     of its monitors know the later version and haven't reported the old one. A monitor
//     reports only the newest version that it knows, so these monitors will never report
//     the old set, and the others are too few to make the old set's fence certain.
//  5. A promise ends with the process that made it. Therefore sets identify the monitors'
//     processes by the incarnations with which they started, replies and reports identify
//     the process that sent them, and only those of the same process count. A process that
//     started later also reports a member that times out: that report makes the member
//     suspect, but never certainly fenced.
//
// A member that left has fenced itself permanently. Other nodes may learn that a member left
// or began a later incarnation before all messages that the member sent earlier have
// arrived. FormerIncarnationQuiesced reports whether they have arrived. A fence that
// follows from monitors' reports needs no such wait, because it includes FenceMargin.
//
// All this assumes that a node runs one process at a time, and that each process starts with
// an incarnation that no earlier process of the node used. IncarnationEnded also assumes
// that incarnations grow, so that a later incarnation means that the earlier one has ended.
// A process that started with too small an incarnation begins a later one as soon as it
// learns of the earlier process; until then IncarnationEnded may be wrong about it, but
// CertainlyFenced is not.
//
// # When a fence can't be certain
//
// With fewer than reportsNeeded reports, the member isn't certainly fenced, and the caller
// must wait for the member itself. This is so in three cases:
//
//   - The member's monitors died with it. Of three monitors, this takes the loss of two;
//     after the loss of one, the reports of the other two are enough.
//   - The monitors restarted before they reported.
//   - The deployment has one or two nodes, where no node can fence another: if a single
//     monitor could, the loss of one node would stop both.
//
// It is safe to wait until the member starts again or leaves, since either ends the
// incarnation. For a machine that never comes back, an operator who has made sure that it is
// switched off calls Remove.
//
// A member that loses a majority of its monitors at once can't distinguish this from a
// network partition. It is fenced after FenceAfter, and its next incarnation serves as soon
// as new monitors acknowledge it.
//
// # Sources
//
// Incarnations, suspicion that the suspected member itself refutes, and records that spread
// with other traffic are as in SWIM (Das, Gupta, Motivala: SWIM, DSN 2002). Unlike in SWIM, a
// member is monitored by a few fixed members instead of by random probes, so that a
// monitor's report can be a promise, and the right to serve is a lease that a majority of
// the monitors renews (Gray, Cheriton: Leases, SOSP 1989). Gossip and anti-entropy are those
// of Demers et al. (Epidemic algorithms for replicated database maintenance, PODC 1987).
package membership
