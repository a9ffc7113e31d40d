package checker

import "time"

// WeightIsolation requires that no execution reuses chunks made under another
// weight version, and that no weights change under a running execution, whose
// own kept state would then be of two versions.
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
	walls := newWalls(records)
	var violations []Violation
	for _, execution := range records.Executions {
		for _, reuse := range execution.Reused {
			if reuse.Tenant == execution.Tenant {
				continue
			}
			walled := walls.walled(execution.Tenant, execution.Arrived) ||
				walls.walled(reuse.Tenant, execution.Arrived)
			if !walled {
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

// walls knows at which times a tenant is certainly walled.
type walls struct {
	spans map[string][]Span
}

// newWalls reads the walls of a run. A tenant is certainly walled from
// ServedBound after the acknowledgement until an order to unwall it was sent.
func newWalls(records *Records) *walls {
	known := &walls{spans: make(map[string][]Span)}
	for _, tenant := range records.Tenants {
		if tenant.Walled {
			known.open(tenant.Name, 0)
		}
	}
	for _, order := range ordersBySending(records) {
		switch {
		case order.Change.Kind == ChangeUnwall:
			known.shut(order.Change.Tenant, order.Sent)
		case order.Change.Kind == ChangeWall && order.Outcome == OutcomeAcknowledged:
			known.open(order.Change.Tenant, order.Answered+ServedBound)
		}
	}
	return known
}

func (known *walls) open(tenant string, from time.Duration) {
	known.spans[tenant] = append(known.spans[tenant], Span{From: from, To: forever})
}

func (known *walls) shut(tenant string, at time.Duration) {
	for position := range known.spans[tenant] {
		span := &known.spans[tenant][position]
		span.To = min(span.To, at)
	}
}

func (known *walls) walled(tenant string, at time.Duration) bool {
	for _, span := range known.spans[tenant] {
		if span.contains(at) {
			return true
		}
	}
	return false
}
