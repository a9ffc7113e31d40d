// Package fleet runs a whole deployment as processes on one machine, each with its own
// address in 127.0.0.0/8: the nodes, and stand-ins for the services that nodes connect
// to. It samples which configuration the nodes serve and what the platform lists, and
// at the end reads the records of the stand-ins.
//
// A fleet signals only processes that it started and has not yet waited for, and ends
// all of them when it stops.
//
// A Fleet is safe for concurrent use once it has started: a lock guards its processes,
// and its topology is replaced as a whole. Only one goroutine at a time may move
// machines or seeds.
package fleet
