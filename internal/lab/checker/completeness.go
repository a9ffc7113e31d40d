package checker

// RecordsComplete requires that the records hold an execution for every complete
// answer. Without this rule, a run in which the records of the back ends were
// never collected would pass all other rules.
type RecordsComplete struct{}

// Name returns the stable name.
func (RecordsComplete) Name() Name { return "records_complete" }

// Check looks for complete answers without a recorded execution.
func (rule RecordsComplete) Check(records *Records) []Violation {
	runs := runsByRequest(records)
	var violations []Violation
	for _, request := range records.Requests {
		if request.Result != ResultComplete || len(runs[request.ID]) > 0 {
			continue
		}
		violations = append(violations, violation(rule.Name(), request.Ended,
			"request %s was answered by %s, but no back end recorded it", request.ID, request.Node))
	}
	return violations
}
