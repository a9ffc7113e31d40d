// Package hollow runs the control plane of many nodes in one process, to measure
// what a node costs as a deployment grows.
//
// Real are: the control machine and its driver with their timers, membership,
// relay tree and replication; every message between two nodes, which is encoded into
// a frame, crosses a TCP connection on the loopback and is decoded; the durable
// logs of the nodes with disks, on a disk in memory; orders and their answers.
//
// Hollow are: the traffic of callers, which a node never sees here, so that no
// request ever runs; the replicas, which report at once and load weights in no
// time; and the platform's list, which is handed over instead of fetched. With
// shared sockets, the nodes of one zone share one transport, and a frame starts
// with the number of the node that it is for.
//
// On the virtual clock, one goroutine runs all nodes: it does with the outputs of
// the control machines what their drivers do, frames are encoded and decoded but
// cross no socket, and inputs take no time. Such a run is the same each time for
// the same settings, but for what it measures of the processor and the memory.
//
// Concurrency: a fleet has the goroutines of its nodes' drivers and of its transports,
// which share meters, replicas and the list of endpoints; a virtualFleet, with all that
// it reaches, belongs to the goroutine that runs it, locked to its thread. A spread
// belongs to the goroutine that samples, and is read once that has ended.
//
//	run.go            a measurement, and its result
//	start.go          the measurement of a start of all nodes at once
//	settings.go       what to run; topology.go and configuration.go the deployment
//	fleet.go          nodes in real time: node.go, network.go, changes.go
//	virtual_fleet.go  nodes on the virtual clock: virtual_node.go, role_times.go
//	replicas.go       the replicas of both
//	spread.go         how fast changes reach the nodes
//	traffic.go        what nodes send and receive
//	usage.go          processor time and memory of the process
//	index.go          the index of cached chunks, measured alone
package hollow
