// Package operator plays the operators of a deployment: it sends orders to the
// nodes' control addresses, resends what got no final outcome, and records every
// submission with its times and its outcome.
//
// Paths and bodies follow from the schema, so that a call is described only
// there.
//
// A Recorder is shared by all operators of a run and guards its records by a lock; a
// Scenario belongs to the goroutine that runs it, but for Targets.
package operator
