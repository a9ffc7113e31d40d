// Package driver runs a control machine in a daemon: it owns the goroutine, the
// clock and all input and output that the machine in package control leaves out.
//
// Driver owns the machine, the replies that callers wait for and the queues of
// writes; all of these belong to the goroutine of Serve. What traffic reads (the
// view, the time until which the node may serve, the live peers) is published
// through atomic values, so that a request never waits for control. Inputs are
// posted to the control goroutine and may come from any goroutine.
//
// Each shard has a writer goroutine of its own, so that a slow disk of one shard does not
// delay the others. Serve starts the writers, and they end with its context; Serve does not
// wait for a write that the disk has not finished.
package driver
