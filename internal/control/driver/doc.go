// Package driver runs a control machine in a daemon. The machine in package control has no
// goroutine, reads no clock and does no I/O; the driver provides all three.
//
// Driver owns the machine and the replies that callers wait for. Both belong to the control
// goroutine, which is the goroutine of Serve. PublishedState contains what requests read: the
// view, the time until which the node may serve, and the live peers. These values are atomic,
// so that a request never waits for the control goroutine. Inputs may be posted from any
// goroutine and are handled by the control goroutine.
//
// Each shard has a shardWriter with a goroutine of its own, so that a slow disk of one
// shard does not delay the others. Serve starts the writers, and they end with its
// context; Serve does not wait for a write that the disk has not finished.
//
//	state                                              owner
//	machine, queue of inputs                           Driver
//	published view, fence deadline and live peers      PublishedState
//	channels of callers that wait for a reply          replies
//	outstanding write of a shard                       shardWriter
//	counts of sent messages                            frameSender
//	measured sizes, count of writers with a full disk  storageMonitor
package driver
