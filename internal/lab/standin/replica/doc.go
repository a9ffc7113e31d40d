// Package replica is the HTTP stand-in for a model replica: the emulated model
// of package emulator in real time behind the replica protocol, with a log of
// what has really run.
package replica
