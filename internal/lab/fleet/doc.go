// Package fleet runs a whole deployment as processes of one machine, each on an
// address of its own in 127.0.0.0/8: nodes and the stand-ins of everything that
// nodes talk to. It watches what the nodes serve and what the platform lists,
// and reads at the end what the stand-ins recorded.
//
// A fleet ends only processes that it started, by their identity, and ends all
// of them when it stops.
//
// A Fleet may be used from several goroutines once it has started: its processes are
// behind a lock, and its topology is replaced as a whole. Only one goroutine at a time
// may move machines or seeds.
package fleet
