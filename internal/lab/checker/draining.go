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
	for _, sample := range endpointsByTime(records) {
		from, draining := since[sample.Replica]
		switch {
		case sample.Draining && !sample.Removed && !draining:
			since[sample.Replica] = sample.At + DrainingBound
		case draining && !sample.Draining && !sample.Removed:
			spans[sample.Replica] = append(spans[sample.Replica], Span{From: from, To: sample.At})
			delete(since, sample.Replica)
		}
	}
	for replica, from := range since {
		spans[replica] = append(spans[replica], Span{From: from, To: forever})
	}
	return spans
}
