// Package membership keeps the table of nodes, and lets each node know two
// things: whether it must itself refuse traffic, and which others certainly do.
//
// # Protocol
//
// A node joins through its seeds and from then on needs none. Records are
// ordered by incarnation, version and state, and spread in three ways: each
// holder of news passes it to a few members at once, mostly of its own zone;
// heartbeats and their replies carry a digest of the table whose mismatch leads to
// an exchange of the records that differ; and now and then a digest goes to any
// member, to one that is certainly fenced, or to a seed on which no live member
// listens, so that two halves of a split meet again. A seed that started a moment
// ago, or whose table still grows, answers a join when it has settled, and monitors
// are chosen when the table has, so that a start of many costs few messages.
//
// Each node declares a set of monitors, its successors on a ring of hashes
// spread over the zones, and sends them heartbeats. They hold its row until the
// monitor's replies show that it has it; each reply states what the monitor's own
// table holds, so that nothing below depends on that. A node that too few
// monitors acknowledged within FenceAfter, counted from when the heartbeat was
// sent, is fenced. A monitor that heard nothing for FenceAfter+FenceMargin
// reports a Silence.
//
// # Why a certain fence is certain
//
// A life is one incarnation. It begins fenced, may serve, and once fenced is
// over: the process goes on under the next incarnation (FenceCount grows), with
// new monitors, and may serve only after the layer above has registered it and
// learnt the current revision. A set of n monitors needs acksNeeded(n)
// acknowledgements to serve; reportsNeeded(n) is the least number of monitors
// that leaves fewer. These hold:
//
//  1. A Silence is a promise. After it, this process of the monitor never again
//     acknowledges this incarnation under this set version: each reply states
//     the newest version silenced, and the member counts no reply for versions
//     up to it. So a Silence stays true however old it gets, even if its monitor
//     dies or freezes, and the union of silences needs no order. It is withdrawn
//     only by the member, which declares the set under a new version.
//  2. A Silence comes FenceAfter+FenceMargin after the monitor last acknowledged
//     the incarnation or learnt of the set, whichever is later. What the member
//     counts of this monitor was sent before that. So, as long as clocks differ
//     in rate by less than FenceMargin/FenceAfter, it has run out.
//  3. Hence, when reportsNeeded monitors of a set reported, the member is
//     fenced under this set, and stays so.
//  4. A member that replaces a set is subject to both: it is fenced when either
//     lacks its majority. A new set counts as acknowledged when it is declared,
//     which 2 allows. The old set is dropped when acksNeeded of its monitors
//     have seen the later version without having silenced the old one. By 1
//     those never will, so that too few others remain to make the old set
//     certain.
//  5. A promise is lost with the process that gave it. So sets name processes
//     (by the incarnation they started with), replies and silences name theirs,
//     and only equal ones count.
//     A process that started later reports a member that it doesn't hear as well:
//     that makes the member suspect, and never certainly fenced.
//
// A member that left is fenced for good by its own act. That, and a later life, is
// known at once, and so before what the member sent last has arrived everywhere.
// FormerIncarnationQuiesced tells when it has; a certain fence includes FenceMargin.
//
// This assumes that a node's processes follow each other, one at a time, and
// that each starts with an incarnation which no earlier one used. IncarnationEnded
// assumes further that incarnations grow, so that a later life means that the
// earlier one is over. A process that started with too small an incarnation
// begins a later life as soon as it hears of the earlier one; until then
// IncarnationEnded may be wrong of it, CertainlyFenced is not.
//
// # When there is no certainty
//
// With fewer than reportsNeeded reports the answer stays "not certain", and
// the caller must wait for the member itself. This is so when the member's
// monitors died with it (with three, when two of them did; the loss of one
// leaves two, which is enough), when they restarted before they reported, and
// in deployments of one or two nodes, where nobody can fence the other (a
// single monitor would turn the loss of one node into the loss of both). It is
// safe to wait until the member starts again or leaves: either ends the life.
// For a machine that never comes back, an operator who has made sure that it is
// off says so by Remove.
//
// A member that loses a majority of its monitors at once can't tell this from
// being cut off. It is fenced after FenceAfter, and its next life serves as
// soon as new monitors answer.
package membership
