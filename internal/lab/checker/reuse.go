package checker

// WeightIsolation requires that no execution reuses chunks made under another
// weight version, and that the weights do not change during an execution, because
// its own cached state would then mix two versions.
type WeightIsolation struct{}

// Name returns the stable name.
func (WeightIsolation) Name() Name { return "weight_isolation" }

// Check compares the version of each reused chunk with that of its execution.
func (rule WeightIsolation) Check(records *Records) []Violation {
	var violations []Violation
	for _, execution := range records.Executions {
		if !execution.Refused && execution.FinalVersion != "" && execution.FinalVersion != execution.WeightVersion {
			violations = append(violations, violation(rule.Name(), execution.Arrived,
				"request %s on %s began under %s and ended under %s", execution.RequestID,
				execution.Replica, execution.WeightVersion, execution.FinalVersion))
		}
		for _, reuse := range execution.Reused {
			if reuse.WeightVersion == execution.WeightVersion {
				continue
			}
			violations = append(violations, violation(rule.Name(), execution.Arrived,
				"request %s on %s under %s reused part %s made under %s",
				execution.RequestID, execution.Replica, execution.WeightVersion,
				reuse.Chunk, reuse.WeightVersion))
		}
	}
	return violations
}

// TenantIsolation requires that no execution reuses chunks made by another tenant
// while either of the two is walled.
type TenantIsolation struct{}

// Name returns the stable name.
func (TenantIsolation) Name() Name { return "tenant_isolation" }

// Check compares the tenant of each reused chunk with that of its execution.
func (rule TenantIsolation) Check(records *Records) []Violation {
	walled := walledSpans(records)
	var violations []Violation
	for _, execution := range records.Executions {
		for _, reuse := range execution.Reused {
			if reuse.Tenant == execution.Tenant {
				continue
			}
			if !walled.contains(execution.Tenant, execution.Arrived) && !walled.contains(reuse.Tenant, execution.Arrived) {
				continue
			}
			violations = append(violations, violation(rule.Name(), execution.Arrived,
				"request %s of tenant %s on %s reused part %s made by tenant %s",
				execution.RequestID, execution.Tenant, execution.Replica,
				reuse.Chunk, reuse.Tenant))
		}
	}
	return violations
}

// walledSpans returns the spans in which each tenant is certainly walled: from
// ServedBound after the acknowledgement, or from the start of the run if it was walled
// then, until an order to unwall it is sent.
func walledSpans(records *Records) spansByName {
	spans := spansByName{}
	for _, tenant := range records.Tenants {
		if tenant.Walled {
			spans.open(tenant.Name, 0)
		}
	}
	for _, order := range ordersBySending(records) {
		tenant := order.Change.Tenant
		switch {
		case order.Change.Kind == ChangeUnwall:
			spans.close(tenant, order.Sent)
		case order.Change.Kind == ChangeWall && order.Outcome == OutcomeAcknowledged:
			spans.open(tenant, order.Answered+ServedBound)
		}
	}
	return spans
}
