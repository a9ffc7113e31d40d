package checker

import (
	"net/http"
	"time"
)

// ServiceReturns requires that a service never goes without a complete answer for
// longer than OutageBound while admitted callers send requests to it.
type ServiceReturns struct{}

// Name returns the stable name.
func (ServiceReturns) Name() Name { return "service_returns" }

// Check reports each outage of a service that lasts too long.
func (rule ServiceReturns) Check(records *Records) []Violation {
	var violations []Violation
	for _, outage := range outages(records) {
		if outage.To-outage.From <= OutageBound {
			continue
		}
		violations = append(violations, violation(rule.Name(), outage.To,
			"service %s answered no request from %v to %v", outage.service, outage.From, outage.To))
	}
	return violations
}

// LongestOutage returns the longest time for which every request to some
// service failed or was refused.
func LongestOutage(records *Records) time.Duration {
	var longest time.Duration
	for _, outage := range outages(records) {
		longest = max(longest, outage.To-outage.From)
	}
	return longest
}

// outage is a span from the first to the last of several unanswered requests
// to a service, with no answered one between them.
type outage struct {
	Span
	service string
}

// outages returns all outages, in the order in which they began.
func outages(records *Records) []outage {
	open := make(map[string]*outage)
	var found []*outage
	for _, request := range requestsBySending(records) {
		switch {
		case request.Result == ResultComplete:
			delete(open, request.Service)
		case !countsAsOutage(request):
		case open[request.Service] != nil:
			open[request.Service].To = request.Sent
		default:
			begun := &outage{Span: Span{From: request.Sent, To: request.Sent}, service: request.Service}
			open[request.Service] = begun
			found = append(found, begun)
		}
	}
	var all []outage
	for _, one := range found {
		all = append(all, *one)
	}
	return all
}

// countsAsOutage reports whether the service should have answered an unanswered
// request: its caller did not disconnect on purpose, had a valid key (no status 401),
// and kept to its limits (no status 429).
func countsAsOutage(request Request) bool {
	callerError := request.Status == http.StatusUnauthorized || request.Status == http.StatusTooManyRequests
	return request.Result != ResultDisconnected && !callerError
}
