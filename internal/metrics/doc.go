// Package metrics serves the counters and gauges of a node in the Prometheus
// text format. The package counts nothing itself: it reads all values from their sources at
// the time of a scrape.
//
// The number of series is bounded. There is no label that names a tenant, a
// replica or another node, and at most MaxDestinations destinations have series
// of their own.
//
// The only state of the collectors is the set of destinations that have series. They are safe
// for concurrent use.
package metrics
