// Package claims is for requests that must not run twice: a deployment runs each at most
// once, even when it is sent to several nodes.
//
// The package is built and tested, and not wired into nodes: what is missing is a message
// in the frames between nodes and a directory of homes in the control state
// (docs/design/duplicates.md lists it). Until then each node refuses only the duplicates
// that it has seen itself. The package stays because its argument and its tests are what
// that wiring rests on. internal/dataplane/claiming is to drive it, and is not wired
// either.
//
// A node that is about to run such a request claims its key first. The key has a few
// homes, found by rendezvous hashing over a directory of nodes that all agree on. Each
// home grants a key to one claim at a time and remembers it; a claim is acquired with
// the grants of a majority of the homes. Safety rests on these rules:
//
//   - Two majorities of one key share a home, and a home never has two claims of one
//     key. An entry is never dropped early: a home that is full grants nothing new.
//   - A home keeps its entries in memory. After a start it grants nothing until
//     everything that an earlier incarnation may have granted has expired anyway. In
//     that time it accepts renewals, so that it learns which requests still run.
//   - A claim is renewed while its request runs, and is valid only while a majority
//     has acknowledged, within less than the time that homes remember, a message that
//     is no older. A claimant that was frozen for longer has lost its claim for good.
//   - While the directory changes, a claim needs a majority in every set of it. A set
//     may be left out only when every node has adopted the sets that follow it, or
//     certainly serves nothing, and Config.Retention has passed after that.
//
// A key is remembered for Config.Retention after the last renewal of its claim. What
// is sent again later than that is a new request.
//
// Machine is a state machine: claims, messages and the time go in, messages and decisions
// come out. It does no I/O and reads no clock, and is not safe for concurrent use.
//
//	state                                    owner
//	claims of this node, their decisions     Machine
//	homes asked for a claim, their replies   attempt, of its claim
//	the sets that have to agree              Machine: directory
//	claims remembered as a home, of any node home
package claims
