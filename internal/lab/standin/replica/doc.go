// Package replica is the HTTP stand-in for a model replica. It runs the emulated
// replica of package emulator in scaled real time behind the replica protocol, and
// records the ground truth about every execution.
package replica
