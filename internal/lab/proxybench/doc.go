// Package proxybench measures what a node's data plane costs: callers reach a
// few replicas that answer at once through the node, through a bare net/http
// forwarder, and directly. All of them run in one process and in turns, so that
// whatever else the machine does meets them alike.
//
// Callers and replicas take processor time as well. The processor time for
// each request is therefore reported too, and the time without any proxy is
// taken off it, which leaves what the two proxies cost by themselves.
//
// One goroutine runs the measurement and owns its results. Each connection of callers has
// a goroutine while its target is measured, and every server those of net/http.
package proxybench
