package checker

import "time"

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

// evacuatedSpans returns when each zone must get nothing. A restoration counts
// from its sending, since it may take effect from then on.
func evacuatedSpans(records *Records) map[string][]Span {
	spans := make(map[string][]Span)
	for _, order := range ordersBySending(records) {
		zone := order.Change.Zone
		switch {
		case order.Change.Kind == ChangeRestore:
			closeSpans(spans[zone], order.Sent)
		case order.Change.Kind == ChangeEvacuate && order.Outcome == OutcomeAcknowledged:
			spans[zone] = append(spans[zone], Span{From: order.Answered + EvacuationBound, To: forever})
		}
	}
	return spans
}

func closeSpans(spans []Span, at time.Duration) {
	for position := range spans {
		spans[position].To = min(spans[position].To, at)
	}
}
