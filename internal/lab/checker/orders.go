package checker

// OneOrderPerBase requires that at most one of several orders on the same base
// revision is acknowledged.
type OneOrderPerBase struct{}

// Name returns the stable name.
func (OneOrderPerBase) Name() Name { return "one_order_per_base" }

// Check groups the acknowledged orders by base revision. Base 0 stands for any
// revision, so that orders on it conflict with no other order.
func (rule OneOrderPerBase) Check(records *Records) []Violation {
	winners := make(map[uint64]string)
	var violations []Violation
	for _, order := range ordersBySending(records) {
		if order.Outcome != OutcomeAcknowledged || order.BaseRevision == 0 {
			continue
		}
		winner, taken := winners[order.BaseRevision]
		if !taken {
			winners[order.BaseRevision] = order.OrderID
			continue
		}
		if winner != order.OrderID {
			violations = append(violations, violation(rule.Name(), order.Answered,
				"orders %s and %s were both acknowledged on base revision %d",
				winner, order.OrderID, order.BaseRevision))
		}
	}
	return violations
}

// ResentOrder requires that no submission of an acknowledged order is refused, and
// that each acknowledgement of the order names the same revision.
type ResentOrder struct{}

// Name returns the stable name.
func (ResentOrder) Name() Name { return "resent_order" }

// Check compares the outcomes of all submissions of an order.
func (rule ResentOrder) Check(records *Records) []Violation {
	taken := make(map[string]uint64)
	for _, order := range ordersBySending(records) {
		_, known := taken[order.OrderID]
		if order.Outcome == OutcomeAcknowledged && !known {
			taken[order.OrderID] = order.Revision
		}
	}
	var violations []Violation
	for _, order := range records.Orders {
		revision, known := taken[order.OrderID]
		if !known {
			continue
		}
		if order.Outcome == OutcomeRefused {
			violations = append(violations, violation(rule.Name(), order.Answered,
				"order %s was taken as revision %d, but %s refused a resend: %s",
				order.OrderID, revision, order.Node, order.ProblemKind))
		}
		if order.Outcome == OutcomeAcknowledged && order.Revision != revision {
			violations = append(violations, violation(rule.Name(), order.Answered,
				"order %s was taken as revision %d, but %s answered %d to a resend",
				order.OrderID, revision, order.Node, order.Revision))
		}
	}
	return violations
}

// InvalidRefused requires that an invalid configuration is never acknowledged or
// answered as pending.
type InvalidRefused struct{}

// Name returns the stable name.
func (InvalidRefused) Name() Name { return "invalid_refused" }

// Check looks for invalid orders that were acknowledged or answered as pending.
func (rule InvalidRefused) Check(records *Records) []Violation {
	var violations []Violation
	for _, order := range records.Orders {
		accepted := order.Outcome == OutcomeAcknowledged || order.Outcome == OutcomePending
		if order.Invalid && accepted {
			violations = append(violations, violation(rule.Name(), order.Answered,
				"invalid order %s was answered %s by %s", order.OrderID, order.Outcome, order.Node))
		}
	}
	return violations
}
