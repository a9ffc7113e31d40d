package checker

import "time"

// DrainingReplica holds that a replica gets no request once DrainingBound has
// passed since the platform's list showed it draining.
type DrainingReplica struct{}

// Name returns the stable name.
func (DrainingReplica) Name() Name { return "draining_replica" }

// Check looks for requests that arrived at a draining replica too late.
func (rule DrainingReplica) Check(records *Records) []Violation {
	spans := drainingSpans(records)
	var violations []Violation
	for _, execution := range records.Executions {
		for _, span := range spans[execution.Replica] {
			if !span.contains(execution.Arrived) {
				continue
			}
			violations = append(violations, violation(rule.Name(), execution.Arrived,
				"request %s arrived at %s, which is listed as draining and closed since %v",
				execution.RequestID, execution.Replica, span.From))
		}
	}
	return violations
}

// drainingSpans returns when each replica must get nothing.
func drainingSpans(records *Records) map[string][]Span {
	since := make(map[string]time.Duration)
	spans := make(map[string][]Span)
	for _, listing := range listingsByTime(records) {
		from, draining := since[listing.Replica]
		switch {
		case listing.Draining && !listing.Removed && !draining:
			since[listing.Replica] = listing.At + DrainingBound
		case draining && !listing.Draining && !listing.Removed:
			spans[listing.Replica] = append(spans[listing.Replica], Span{From: from, To: listing.At})
			delete(since, listing.Replica)
		}
	}
	for replica, from := range since {
		spans[replica] = append(spans[replica], Span{From: from, To: forever})
	}
	return spans
}
