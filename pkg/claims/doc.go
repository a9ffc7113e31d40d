// Package claims lets a deployment run a request that must not run twice at
// most once, also when it is sent to several nodes.
//
// A node that is about to run such a request claims its key first. The key has
// a few homes, found by rendezvous hashing over a directory of nodes that all
// agree on. Each home grants a key to one claim at a time and remembers it; a
// claim holds with the grants of a majority of the homes. What carries this:
//
//   - Two majorities of one key share a home, and a home never has two claims of
//     one key. An entry is never dropped early: a home that is full grants
//     nothing new.
//   - A home keeps its entries in memory. After a start it grants nothing until
//     everything that an earlier life may have granted is forgotten anyway. In
//     that time it takes renewals, so that it learns what still runs.
//   - A claim is renewed while its request runs, and counts only while a
//     majority has acknowledged, within less than the time that homes remember,
//     a message that is no older. A claimant that was frozen for longer has lost
//     its claim for good.
//   - While the directory changes, a claim needs a majority in every set of it.
//     A set may be left out only when every node has adopted the sets that
//     follow it, or certainly serves nothing, and Config.Retention has passed
//     after that.
//
// A key is remembered for Config.Retention after the last sign of life of its
// claim. What is sent again later than that is a new request.
//
// The Machine is a state machine: claims, messages and the time go in, messages
// and decisions come out. It is not safe for use by several goroutines.
package claims
