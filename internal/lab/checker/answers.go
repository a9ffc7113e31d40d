package checker

// AnswerIntegrity requires that every answer belongs to its request, and that an
// answer which looks complete names its request and has the right digest.
type AnswerIntegrity struct{}

// Name returns the stable name.
func (AnswerIntegrity) Name() Name { return "answer_integrity" }

// Check compares every answer with its request.
func (rule AnswerIntegrity) Check(records *Records) []Violation {
	var violations []Violation
	for _, request := range records.Requests {
		violations = append(violations, rule.checkRequest(request)...)
	}
	return violations
}

func (rule AnswerIntegrity) checkRequest(request Request) []Violation {
	var violations []Violation
	complete := request.Result == ResultComplete
	foreign := request.EchoID != "" && request.EchoID != request.ID
	if foreign {
		violations = append(violations, violation(rule.Name(), request.Ended,
			"request %s got the answer of %s", request.ID, request.EchoID))
	}
	if complete && request.EchoID == "" {
		violations = append(violations, violation(rule.Name(), request.Ended,
			"request %s got an answer that names no request", request.ID))
	}
	if complete && !request.DigestMatches {
		violations = append(violations, violation(rule.Name(), request.Ended,
			"request %s got an answer that looks complete but has the wrong digest", request.ID))
	}
	return violations
}
