// Package checker defines the invariants of a deployment and reports where the
// records of a run violate them.
//
// A run is recorded first and checked afterwards. Every time in the records is the
// time since the run began, read from one clock. Each rule is an Invariant; rules on
// the same subject share a file. Check applies all rules.
//
// The package is pure: it keeps no state, does no I/O and never changes the records,
// so that several goroutines may check the same records concurrently.
//
//	records.go    the records of a run
//	violation.go  the interface of a rule, and the list of all rules
//	bounds.go     the bounds that the rules check
//	figures.go    figures of a run that no rule judges
//	sorting.go    sorting of records by time
//	spans.go      the spans of time in which a rule applies
package checker
