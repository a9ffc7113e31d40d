package checker

// RecordsComplete requires that the records can prove something: every complete
// answer has an execution that gave it. Without this rule a run whose back
// ends were never read would pass all the others.
type RecordsComplete struct{}

// Name returns the stable name.
func (RecordsComplete) Name() Name { return "records_complete" }

// Check looks for answers that no back end knows of.
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
