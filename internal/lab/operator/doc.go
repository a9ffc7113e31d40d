// Package operator simulates the operators of a deployment: it sends orders to the
// nodes' control addresses, resends orders that got no final outcome, and records
// every submission with its times and its outcome.
//
// Paths and bodies of calls are derived from the schema, which is the only
// description of a call.
//
// All operators of a run share one Recorder, which guards its records by a lock. A
// Scenario may be used only by the goroutine that runs it, except for
// Scenario.Targets, which any goroutine may call.
package operator
