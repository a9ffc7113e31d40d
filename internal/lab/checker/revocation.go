package checker

// Revocation requires that a revoked key admits no request once RevocationBound has
// passed since the acknowledgement.
type Revocation struct{}

// Name returns the stable name.
func (Revocation) Name() Name { return "revocation" }

// Check looks for executions that a revoked key started too late, and for
// answers to requests that were sent too late.
func (rule Revocation) Check(records *Records) []Violation {
	revoked := revokedSpans(records)
	runs := runsByRequest(records)
	var violations []Violation
	for _, request := range records.Requests {
		span, known := revoked[keyName{request.Tenant, request.Key}]
		if !known {
			continue
		}
		for _, execution := range runs[request.ID] {
			if span.contains(execution.Arrived) {
				violations = append(violations, violation(rule.Name(), execution.Arrived,
					"request %s ran on %s under key %s/%s, revoked for good since %v",
					request.ID, execution.Replica, request.Tenant, request.Key, span.From))
			}
		}
		if request.Result == ResultComplete && span.contains(request.Sent) {
			violations = append(violations, violation(rule.Name(), request.Sent,
				"request %s to %s was answered under key %s/%s, revoked for good since %v",
				request.ID, request.Node, request.Tenant, request.Key, span.From))
		}
	}
	return violations
}

// keyName identifies a key among those of all tenants.
type keyName struct {
	tenant string
	key    string
}

// revokedSpans returns the span in which each key is certainly revoked: from
// RevocationBound after the first acknowledgement until an order to add it again is
// sent.
func revokedSpans(records *Records) map[keyName]Span {
	spans := make(map[keyName]Span)
	for _, order := range ordersBySending(records) {
		name := keyName{order.Change.Tenant, order.Change.Key}
		span, known := spans[name]
		switch {
		case order.Change.Kind == ChangeAddKey && known:
			span.To = min(span.To, order.Sent)
			spans[name] = span
		case order.Change.Kind == ChangeRevoke && order.Outcome == OutcomeAcknowledged:
			from := order.Answered + RevocationBound
			if known && span.To == forever {
				from = min(from, span.From)
			}
			spans[name] = Span{From: from, To: forever}
		}
	}
	return spans
}
