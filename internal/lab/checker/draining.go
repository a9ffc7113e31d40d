package checker

import "time"

// DrainingReplica requires that a replica gets no request once DrainingBound has
// passed since the platform's list showed it draining.
type DrainingReplica struct{}

// Name returns the stable name.
func (DrainingReplica) Name() Name { return "draining_replica" }

// Check looks for requests that arrived at a draining replica too late.
func (rule DrainingReplica) Check(records *Records) []Violation {
	var violations []Violation
	replicaOf := func(execution Execution) string { return execution.Replica }
	for _, late := range arrivalsWithin(records, drainingSpans(records), replicaOf) {
		violations = append(violations, violation(rule.Name(), late.execution.Arrived,
			"request %s arrived at %s, which is listed as draining and closed since %v",
			late.execution.RequestID, late.execution.Replica, late.span.From))
	}
	return violations
}

// arrival is an execution that arrived within a span in which nothing may.
type arrival struct {
	execution Execution
	span      Span
}

// arrivalsWithin returns the executions that arrived within a span of their key,
// once for each such span, in the order of the records.
func arrivalsWithin(records *Records, spans map[string][]Span, keyOf func(Execution) string) []arrival {
	var arrivals []arrival
	for _, execution := range records.Executions {
		for _, span := range spans[keyOf(execution)] {
			if span.contains(execution.Arrived) {
				arrivals = append(arrivals, arrival{execution: execution, span: span})
			}
		}
	}
	return arrivals
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
