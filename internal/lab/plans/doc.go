// Package plans holds the named plans of faults that a deployment's processes
// go through under load, and judges how long service took to come back.
//
// While a plan runs, operators add keys one after another through all nodes and
// resend each order until it is decided. At the end everything that was
// acknowledged must be there on every node.
//
// A plan runs in one goroutine, beside those of the operators; a lock guards what both
// record. The records are judged once all of them have ended.
package plans
