// Package dynamic parses and validates the configuration that operators write, and
// defines the replicated state machine that turns operators' orders into revisions of
// it.
//
// The package is pure: it reads no clock, does no I/O and starts no goroutine. A Machine
// returns the same answers and reaches the same state wherever the same commands are
// applied in the same order. It owns the configuration in force, the answers to accepted
// orders, the registered nodes and the source document; one goroutine may use it at a
// time. What it publishes is never written again.
//
// # Orders
//
// Every order carries an identity chosen by the operator and a digest of its
// content. An order that was accepted is remembered with its answer, so a
// resend gets the first answer again. The newest MaxAnswers accepted orders are
// remembered. A rejected order changes nothing and is not remembered: a corrected order
// may use the identity again, and a resend is checked anew.
//
// An order that changes nothing, such as the evacuation of an evacuated zone
// for the same reason, is accepted at the current revision.
//
// # Keys
//
// Only the digest of a key's secret is stored. A revoked key leaves nothing
// behind, so the same digest may be added again later, under any tenant.
package dynamic
