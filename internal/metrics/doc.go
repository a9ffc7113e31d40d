// Package metrics serves the counters and gauges of a node in the Prometheus
// text format. Everything is read at the time of a scrape: nothing is counted here.
//
// The number of series is bounded. There is no label that names a tenant, a
// replica or another node, and at most MaxDestinations destinations have series
// of their own.
//
// The collectors keep no state but the destinations that have series, and may be used
// concurrently.
package metrics
