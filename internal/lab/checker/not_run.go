package checker

// NotRunIsFinal requires that a request whose refusal says "not run" has not run
// and does not run later.
type NotRunIsFinal struct{}

// Name returns the stable name.
func (NotRunIsFinal) Name() Name { return "not_run_is_final" }

// Check looks for executions of requests that were refused as not run.
func (rule NotRunIsFinal) Check(records *Records) []Violation {
	runs := runsByRequest(records)
	var violations []Violation
	for _, request := range records.Requests {
		ran := runs[request.ID]
		if request.Claim != ClaimNotRun || len(ran) == 0 {
			continue
		}
		violations = append(violations, violation(rule.Name(), request.Ended,
			"request %s was refused by %s as not run (%s) but ran on %s",
			request.ID, request.Node, request.ErrorKind, ran[0].Replica))
	}
	return violations
}
