// Package dynamic reads and checks the configuration that operators write, and
// holds the replicated state machine that turns operators' orders into
// revisions of it.
//
// The package is pure: it reads no clock, does no I/O and starts no goroutine.
// A Machine gives the same answers and reaches the same state wherever the same
// commands are applied in the same order.
//
// # Orders
//
// Every order carries an identity chosen by the operator and a digest of its
// content. An order that was accepted is remembered with its answer, so a
// resend gets the first answer again. The newest MaxAnswers accepted orders are
// remembered. A refused order changes nothing and is not remembered: a
// corrected order may use the identity again, and a resend is judged anew.
//
// An order that changes nothing, such as the evacuation of an evacuated zone
// for the same reason, is accepted at the current revision.
//
// # Keys
//
// Only the digest of a key's secret is held. A revoked key leaves nothing
// behind, so the same digest may be added again later, under any tenant.
package dynamic
