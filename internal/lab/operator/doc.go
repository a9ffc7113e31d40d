// Package operator plays the operators of a deployment: it sends orders to the
// nodes' control addresses, resends what got no final outcome, and records every
// submission with its times and its outcome.
//
// Paths and bodies follow from the schema, so that a call is described only
// there.
package operator
