package checker

// EvacuatedZone requires that the back ends of an evacuated zone get no request
// once EvacuationBound has passed since the acknowledgement, until the zone is
// restored.
type EvacuatedZone struct{}

// Name returns the stable name.
func (EvacuatedZone) Name() Name { return "evacuated_zone" }

// Check looks for requests that arrived in an evacuated zone.
func (rule EvacuatedZone) Check(records *Records) []Violation {
	var violations []Violation
	zoneOf := func(execution Execution) string { return execution.Zone }
	for _, late := range arrivalsWithin(records, evacuatedSpans(records), zoneOf) {
		violations = append(violations, violation(rule.Name(), late.execution.Arrived,
			"request %s arrived at %s in zone %s, which is evacuated and closed since %v",
			late.execution.RequestID, late.execution.Replica, late.execution.Zone, late.span.From))
	}
	return violations
}

// evacuatedSpans returns the spans in which each zone must receive no requests. A
// span ends when an order to restore the zone is sent, because the order may take
// effect from that moment on.
func evacuatedSpans(records *Records) spansByName {
	spans := spansByName{}
	for _, order := range ordersBySending(records) {
		zone := order.Change.Zone
		switch {
		case order.Change.Kind == ChangeRestore:
			spans.close(zone, order.Sent)
		case order.Change.Kind == ChangeEvacuate && order.Outcome == OutcomeAcknowledged:
			spans.open(zone, order.Answered+EvacuationBound)
		}
	}
	return spans
}
