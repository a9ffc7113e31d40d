// Package claims ensures that a deployment runs a request at most once, even if the request
// is sent to several nodes.
//
// The package is implemented and tested, but nodes do not use it yet: the frames between
// nodes have no message for claims, and the control state has no directory of homes
// (docs/design/duplicates.md lists what is missing). Until then, each node refuses only the
// duplicates that it has received itself. The package is kept because the integration
// will be based on its safety argument and its tests. internal/dataplane/claiming is to
// drive the package, and nodes do not use it yet either.
//
// Before a node runs such a request, it claims the key of the request. The homes of a key
// are a few nodes, selected by rendezvous hashing over a directory on which all nodes agree.
// Each home grants a key to one claim at a time, and remembers that claim. A claim is
// acquired if a majority of the homes has granted it. Safety is based on these rules:
//
//   - Any two majorities of the homes of a key have a home in common, and a home never
//     has two claims of one key. An entry is never removed before it expires, unless its
//     claim is released: a home that is full grants no new claims.
//   - A home stores its entries only in memory. After a start, it grants no new claims
//     until everything that an earlier incarnation may have granted has expired. During
//     that time it accepts renewals, so that it learns which requests still run.
//   - A claim is renewed while its request runs. Its validity ends Config.Retention, less
//     a margin, after the sending of the last request or renewal that a majority has
//     acknowledged. That is before the homes forget the claim. A claimant that was frozen
//     until its claim was no longer valid has lost the claim permanently.
//   - While the directory changes, it contains several sets, and a claim needs a majority
//     in each of them. A set may be removed only when every node either has adopted the
//     sets that follow it or certainly serves no requests, and Config.Retention has passed
//     since then.
//
// A key is remembered for Config.Retention after the last renewal of its claim. If a
// request is sent again after that time, it counts as a new request.
//
// Machine is a state machine. Its inputs are claims, messages and the time, and its outputs
// are messages and decisions. It does no I/O and reads no clock, and is not safe for
// concurrent use.
//
//	state                                    owner
//	claims of this node, their decisions     Machine
//	homes asked for a claim, their replies   attempt, of its claim
//	the sets that have to grant a claim      Machine: directory
//	claims remembered as a home, of any node home
package claims
