// Package leaders tells a node which node leads each shard, as far as it can know.
//
// Directory owns the hints that the node got from replies. Where the node hosts a
// copy of the shard, the copy's replica group knows better than any hint. A wrong
// guess costs a message: who does not lead a shard answers with a hint.
package leaders
