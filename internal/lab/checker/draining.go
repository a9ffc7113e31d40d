package checker

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

// arrival is an execution that arrived within a span in which its replica or zone
// must receive no requests.
type arrival struct {
	execution Execution
	span      Span
}

// arrivalsWithin returns the executions that arrived within a span of their key,
// once for each such span, in the order of the records.
func arrivalsWithin(records *Records, spans spansByName, keyOf func(Execution) string) []arrival {
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

// drainingSpans returns the spans in which each replica must receive no requests.
func drainingSpans(records *Records) spansByName {
	spans := spansByName{}
	draining := make(map[string]bool)
	for _, sample := range endpointsByTime(records) {
		switch {
		case sample.Draining && !sample.Removed && !draining[sample.Replica]:
			spans.open(sample.Replica, sample.At+DrainingBound)
			draining[sample.Replica] = true
		case draining[sample.Replica] && !sample.Draining && !sample.Removed:
			spans.close(sample.Replica, sample.At)
			draining[sample.Replica] = false
		}
	}
	return spans
}
