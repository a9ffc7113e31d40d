// Package hollow runs the control plane of many nodes in one process, to measure
// what a node costs as a deployment grows.
//
// Real are: the control machine and its driver with their timers, membership,
// relay and replication; every message between two nodes, which is encoded into
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
package hollow
