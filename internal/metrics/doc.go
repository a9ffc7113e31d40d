// Package metrics serves the counters and gauges of a node in the Prometheus
// text format. Everything is read at the time of a scrape: nothing is counted here.
//
// The number of series is bounded. There is no label that names a tenant, a
// replica or another node, and at most MaxDestinations destinations have series
// of their own.
package metrics
