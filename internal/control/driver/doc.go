// Package driver runs a control machine in a daemon: it owns the goroutine, the
// clock and all input and output that the machine in package control leaves out.
//
// Driver owns the machine and the replies that callers wait for; both belong to the
// goroutine of Serve. What traffic reads (the view, the time until which the node may
// serve, the live peers) is in PublishedState and read through atomic values, so that a request never
// waits for control. Inputs are posted to the control goroutine and may come from any
// goroutine.
//
// Each shard has a shardWriter, whose goroutine is its own, so that a slow disk of one
// shard does not delay the others. Serve starts the writers, and they end with its
// context; Serve does not wait for a write that the disk has not finished.
//
//	state                                              owner
//	machine; queue of inputs                           Driver
//	view, fence deadline, live peers, as published     PublishedState
//	channels of those who wait for a reply             replies
//	outstanding write of a shard                       shardWriter
//	counts of sent messages                            frameSender
package driver
