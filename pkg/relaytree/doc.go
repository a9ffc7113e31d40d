// Package relaytree spreads the newest revision of each topic from its root to
// all nodes along a tree that every node derives alone from the live members.
//
// A state is a set of named sections. Each node keeps the newest state of a topic
// and a bounded log of which sections changed at which revision, so that it can
// send a receiver what changed since the revision that the receiver holds. A
// receiver of which that isn't known, or that is too far behind, gets the whole
// state, in parts if it is large. The checksum of all sections goes with every
// update: who would end in another state takes nothing and asks for a whole one.
//
// An update goes down the tree at once. Each node acknowledges it, and while an
// update of a topic is on its way to a node, newer ones wait there in one place:
// only the newest is kept, so that a storm of revisions costs each link one
// update a round trip. Losses and repairs are covered by digests: every
// DigestEvery a node tells its parents and one other member in turn what it
// holds; whoever is newer sends, and whoever is older answers with its own
// digest. So a node whose parent died, or whose tree differs from the others'
// for a while, still converges.
//
// The invariants: the revision that a node holds of a topic never falls, and what
// it holds or hands out is all of one revision.
//
// Contents are opaque and are shared, not copied: nobody may change one.
package relaytree
