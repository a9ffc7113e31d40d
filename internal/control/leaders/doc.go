// Package leaders finds the node that leads each shard.
//
// Directory owns the hints that this node got from other nodes. Where this node hosts a copy
// of the shard, it uses the leader that the copy's replica group knows in place of hints. A
// wrong guess costs one message: a node that does not lead a shard replies with a hint.
package leaders
