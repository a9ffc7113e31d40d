// Package membership maintains the table of nodes and answers two questions for each
// node: must it refuse traffic itself, and which other nodes certainly do?
//
// The package is pure logic: Machine does no I/O, reads no clock and starts no
// goroutine. Its caller feeds it messages and ticks from one goroutine and sends the
// messages that it returns. All messages may be lost, duplicated, delayed and reordered.
//
// # Parts and their state
//
// Machine composes parts; each owns its state:
//
//	state                                            owner
//	newest record of each member, indexes, digests   memberTable
//	seeds, search for one, deferred replies to joins joiner
//	this node's incarnation, its monitor sets,
//	and the deadline of the fence                    selfMember: fence
//	when heartbeats were sent                        selfMember: heartbeatLog
//	peers that get heartbeats, and what they replied selfMember: monitorSelector
//	timers of the members that this node monitors,
//	and what it reported                             failureDetector
//	pending updates, recognition of bulk changes     gossip
//	members whose digest differed                    antiEntropy
//	turns of probes                                  prober
//	random numbers                                   sampler
//	messages of the present input                    outbox
//
// A record reaches the table only through memberTable.merge, which tells failureDetector
// and gossip what changed. Parts read each other, the table above all, and send only
// through the outbox. None changes the state of another, except by merge, and by
// memberTable.assumeStable when this node has joined. Machine's Tick and Step show the
// order in which the parts act.
//
// # Protocol
//
// A node joins through its seeds and needs none from then on. Records are ordered by
// incarnation, version and state, and spread in three ways. Gossip: a node whose table
// changes passes the record on to a few members at once, mostly of its own zone.
// Anti-entropy: heartbeats and their replies carry a digest of the table, and a mismatch
// leads to an exchange of the records that differ. Probes: now and then a digest goes to
// a random member, to one that is certainly fenced, and to a seed at which no live member
// listens, so that two sides of a healed partition find each other again. A seed that
// started lately, or whose table still grows, defers its replies to joining nodes until
// its table is stable, and monitors are chosen when the table is stable, so that a start
// of many nodes costs few messages.
//
// Each node declares a set of monitors, its successors on a ring of hashes spread over
// the zones, and sends them heartbeats. A heartbeat contains the node's record until the
// monitor's replies show that it has it. Each reply states what the monitor's table
// holds, so that nothing below depends on the delivery of gossip. A node that too few
// monitors acknowledged within FenceAfter, counted from when the heartbeat was sent, is
// fenced. A monitor that received no heartbeat for FenceAfter+FenceMargin publishes a
// TimeoutReport.
//
// # Why a certain fence is certain
//
// An incarnation begins fenced, may serve, and ends when it is fenced again: the process
// continues under the next incarnation (FenceCount grows), with new monitors, and may
// serve only after the layer above has registered it and learnt the current revision. A
// set of n monitors needs acksNeeded(n) acknowledgements to serve; reportsNeeded(n) is
// the least number of monitors that leaves fewer. These invariants hold:
//
//  1. A TimeoutReport is a promise. After it, this process of the monitor never again
//     acknowledges this incarnation under this set version (failureDetector upholds it):
//     each reply states the newest version reported, and the member counts no reply for
//     versions up to it (monitorSet.acknowledge). So a report stays true however old it
//     gets, even if its monitor dies or is suspended, and the union of reports needs no
//     order. Only the member can invalidate it, by declaring the set under a new version.
//  2. A report comes FenceAfter+FenceMargin after the monitor last acknowledged the
//     incarnation or learnt of the set, whichever is later. The acknowledgements of this
//     monitor that the member counts are for heartbeats sent before that. So, as long as
//     clocks differ in rate by less than FenceMargin/FenceAfter, they have expired.
//  3. Hence, when reportsNeeded monitors of a set have reported, the member is fenced
//     under this set, and stays so.
//  4. A member that replaces a set is subject to both (fence.update): it is fenced when
//     either lacks its majority. A new set counts as acknowledged when it is declared,
//     which 2 allows. The old set is dropped when acksNeeded of its monitors have seen
//     the later version without having reported the old one. By 1 those never will, so
//     that too few others remain to make the fence of the old set certain.
//  5. A promise ends with the process that gave it. So sets name processes (by the
//     incarnation they started with), replies and reports name theirs, and only equal
//     ones count. A process that started later also reports a member that times out:
//     that makes the member suspect, and never certainly fenced.
//
// A member that left is fenced for good by its own act. That, and a later incarnation, is
// known at once, possibly before all that the member sent earlier has arrived.
// FormerIncarnationQuiesced tells when it has; a certain fence includes FenceMargin.
//
// This assumes that a node's processes follow each other, one at a time, and that each
// starts with an incarnation which no earlier one used. IncarnationEnded assumes further
// that incarnations grow, so that a later one means that the earlier one has ended. A
// process that started with too small an incarnation begins a later one as soon as it
// hears of the earlier process; until then IncarnationEnded may be wrong about it,
// CertainlyFenced is not.
//
// # When there is no certainty
//
// With fewer than reportsNeeded reports the result stays "not certain", and the caller
// must wait for the member itself. This is so when the member's monitors died with it
// (with three, when two of them did; the loss of one leaves two, which is enough), when
// they restarted before they reported, and in deployments of one or two nodes, where
// nobody can fence the other (a single monitor would turn the loss of one node into the
// loss of both). It is safe to wait until the member starts again or leaves: either ends
// the incarnation. For a machine that never comes back, an operator who has made sure
// that it is switched off says so by Remove.
//
// A member that loses a majority of its monitors at once can't tell this from a network
// partition. It is fenced after FenceAfter, and its next incarnation serves as soon as new
// monitors acknowledge it.
//
// # Sources
//
// Incarnations, suspicion that a member refutes by its own act, and records that spread
// with other traffic are as in SWIM (Das, Gupta, Motivala: SWIM, DSN 2002). Unlike SWIM,
// a member is monitored by few fixed others instead of random probes, so that what they
// report can be a promise, and the fence is a lease that a majority of them renews (Gray,
// Cheriton: Leases, SOSP 1989). Gossip and anti-entropy are those of Demers et al.
// (Epidemic algorithms for replicated database maintenance, PODC 1987).
package membership
