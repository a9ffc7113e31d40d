// Package plans holds the named plans of faults that a deployment's processes
// go through under load, and judges how long service took to come back.
//
// While a plan runs, operators add keys one after another through all nodes and
// resend each order until it is decided. At the end everything that was
// acknowledged must be there on every node.
package plans
