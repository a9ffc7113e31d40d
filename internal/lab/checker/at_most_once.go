package checker

// AtMostOnce requires that a request which may not be repeated runs on a back end
// no more than once.
type AtMostOnce struct{}

// Name returns the stable name.
func (AtMostOnce) Name() Name { return "at_most_once" }

// Check counts the executions of every non-repeatable request.
func (rule AtMostOnce) Check(records *Records) []Violation {
	runs := runsByRequest(records)
	var violations []Violation
	for _, request := range records.Requests {
		ran := runs[request.ID]
		if request.Repeatable || len(ran) <= 1 {
			continue
		}
		second := ran[1]
		violations = append(violations, violation(rule.Name(), second.Arrived,
			"request %s may not be repeated and ran %d times, on %s and %s",
			request.ID, len(ran), ran[0].Replica, second.Replica))
	}
	return violations
}

// runsByRequest groups the executions that ran by request, oldest first.
func runsByRequest(records *Records) map[string][]Execution {
	runs := make(map[string][]Execution)
	for _, execution := range executionsByArrival(records) {
		if !execution.Refused {
			runs[execution.RequestID] = append(runs[execution.RequestID], execution)
		}
	}
	return runs
}
