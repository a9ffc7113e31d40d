// Package checker holds the rules that a deployment must never break, and
// finds the places where the records of a run show that one was broken.
//
// A run is recorded first and judged afterwards. Every time in the records is the
// time since the run began, read from one clock. Each rule is an Invariant, in a file
// with those that concern the same thing; Check applies all.
//
// The package is pure: it keeps no state, does no I/O and never changes the records,
// so that several goroutines may judge the same ones at once.
//
//	records.go    what is recorded of a run
//	violation.go  what a rule is, and the list of all
//	bounds.go     the bounds that rules set
//	figures.go    figures of a run that no rule judges
//	sorting.go    records in the order of their times
//	spans.go      the times in which a rule is in force
package checker
