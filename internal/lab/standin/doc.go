// Package standin holds what the stand-ins for a fleet's counterparts share:
// their clock, their server, their answers and their event stream. A stand-in
// speaks the counterpart's protocol and keeps the ground truth that a checker
// compares with what the product said.
//
// The stand-ins use net/http directly, because they must be able to break an
// answer at any byte.
package standin
