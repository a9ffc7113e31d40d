// Package report turns the requests of a recording, or of its replay, into
// figures: latencies, reuse, refusals and retries, by tenant and by destination,
// as JSON, as an HTML page, and compared between two reports.
package report
