// Package checker holds the rules that a deployment must never break, and
// finds the places where the records of a run show that one was broken.
//
// The package is pure: a run is recorded first and judged afterwards. Every
// time in the records is the time since the run began, read from one clock.
// A rule lives in a file of its own and is an Invariant; Check applies all.
package checker
