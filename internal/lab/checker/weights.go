package checker

import (
	"slices"
	"time"
)

// WeightsConverge requires that an ordered weight version runs on every listed
// replica of its pool within WeightsBound of calm time (see Records.Calm). A replica
// that the platform lists as draining, or not at all, is being removed and is not
// checked.
type WeightsConverge struct{}

// Name returns the stable name.
func (WeightsConverge) Name() Name { return "weights_settle" }

// Check examines every weights order that was followed by enough calm time.
func (rule WeightsConverge) Check(records *Records) []Violation {
	var violations []Violation
	orders := weightOrders(records)
	for position, order := range orders {
		deadline, calm := convergenceDeadline(records, order, replacedAt(orders, position))
		if !calm {
			continue
		}
		violations = append(violations, rule.checkOrder(records, order, deadline)...)
	}
	return violations
}

func (rule WeightsConverge) checkOrder(records *Records, order Order, deadline time.Duration) []Violation {
	var violations []Violation
	for _, replica := range poolReplicas(records, order.Change.Pool) {
		if !runningAt(records, replica, deadline) {
			continue
		}
		version, seen := versionAfter(records, replica, deadline)
		if seen && version == order.Change.WeightVersion {
			continue
		}
		violations = append(violations, violation(rule.Name(), deadline,
			"replica %s of pool %s runs weights %q instead of %q after %v of calm",
			replica, order.Change.Pool, version, order.Change.WeightVersion, WeightsBound))
	}
	return violations
}

// weightOrders returns the first acknowledgement of each order that names weights.
func weightOrders(records *Records) []Order {
	seen := make(map[string]bool)
	var found []Order
	for _, order := range ordersBySending(records) {
		taken := order.Outcome == OutcomeAcknowledged && order.Change.Kind == ChangeWeights
		if taken && !seen[order.OrderID] {
			seen[order.OrderID] = true
			found = append(found, order)
		}
	}
	return found
}

// replacedAt returns when the next weights order for the same pool was sent, or
// forever if there is none.
func replacedAt(orders []Order, position int) time.Duration {
	pool := orders[position].Change.Pool
	for _, later := range orders[position+1:] {
		if later.Change.Pool == pool {
			return later.Sent
		}
	}
	return forever
}

// convergenceDeadline returns the first moment at which WeightsBound of uninterrupted
// calm time has passed since the acknowledgement of a weights order that no later order
// has replaced. It returns false if there is none.
func convergenceDeadline(records *Records, order Order, replaced time.Duration) (time.Duration, bool) {
	for _, calm := range records.Calm {
		deadline := max(calm.From, order.Answered) + WeightsBound
		if deadline <= calm.To && deadline < replaced {
			return deadline, true
		}
	}
	return 0, false
}

func poolReplicas(records *Records, pool string) []string {
	var replicas []string
	for _, sample := range records.Versions {
		if sample.Pool == pool && !slices.Contains(replicas, sample.Replica) {
			replicas = append(replicas, sample.Replica)
		}
	}
	return replicas
}

// versionAfter returns the version that the first sample at or after a moment
// shows.
func versionAfter(records *Records, replica string, at time.Duration) (string, bool) {
	found := false
	var first VersionSample
	for _, sample := range records.Versions {
		if sample.Replica != replica || sample.At < at {
			continue
		}
		if !found || sample.At < first.At {
			first = sample
			found = true
		}
	}
	return first.WeightVersion, found
}

// runningAt reports whether the platform listed a replica as running at a moment.
func runningAt(records *Records, replica string, at time.Duration) bool {
	running := false
	for _, sample := range endpointsByTime(records) {
		if sample.Replica == replica && sample.At <= at {
			running = !sample.Draining && !sample.Removed
		}
	}
	return running
}
