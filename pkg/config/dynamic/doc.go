// Package dynamic parses and validates the configuration that operators write, and
// defines the replicated state machine that turns operators' orders into revisions of
// the configuration. An order is a request to change the configuration.
//
// The package is pure: it reads no clock, does no I/O and starts no goroutine. A Machine
// returns the same answers and reaches the same state wherever the same commands are
// applied in the same order. It owns the configuration in force, the answers to accepted
// orders, the registered nodes and the source document; one goroutine may use it at a
// time. A configuration that it has returned is never modified afterwards.
//
// # Orders
//
// Every order carries an identity chosen by the operator and a digest of its
// content. The machine stores the answers to the newest MaxAnswers accepted orders, so
// that a resend of one of them gets the first answer again. A rejected order changes
// nothing and its answer is not stored: a corrected order may use the identity again, and
// a resend is checked against the state at that time.
//
// An order that changes nothing, such as the evacuation of an evacuated zone
// for the same reason, is accepted at the current revision.
//
// # Keys
//
// Only the digest of a key's secret is stored. Nothing of a revoked key is kept in the
// configuration, so that the same digest may be added again later, under any tenant.
package dynamic
