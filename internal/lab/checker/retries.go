package checker

import (
	"slices"
	"time"
)

// RetryRatio requires that retries to a back end service stay within
// MaxRetryRatio of its first attempts: over the whole run at any size, and in
// every window of RetryWindow that holds MinWindowAttempts first attempts.
type RetryRatio struct{}

// Name returns the stable name.
func (RetryRatio) Name() Name { return "retry_ratio" }

// Check judges each service and reports its worst window.
func (rule RetryRatio) Check(records *Records) []Violation {
	var violations []Violation
	for _, service := range serviceNames(records) {
		worst := worstRetries(records, service)
		if worst.ratio() <= MaxRetryRatio {
			continue
		}
		violations = append(violations, violation(rule.Name(), worst.until,
			"service %s got %d retries for %d first attempts within %v",
			service, worst.retries, worst.first, worst.length))
	}
	return violations
}

// WorstRetryRatio returns the highest judged retry ratio of any service.
func WorstRetryRatio(records *Records) float64 {
	var highest float64
	for _, service := range serviceNames(records) {
		highest = max(highest, worstRetries(records, service).ratio())
	}
	return highest
}

// retryCount counts the attempts of one service in one window, which has the given
// length and ends at until.
type retryCount struct {
	first   int
	retries int
	length  time.Duration
	until   time.Duration
}

// ratio returns retries for each first attempt; retries without any first
// attempt count as a ratio of their own number.
func (count retryCount) ratio() float64 {
	return float64(count.retries) / float64(max(count.first, 1))
}

// add counts an execution in with a change of 1, and out again with -1.
func (count *retryCount) add(execution Execution, change int) {
	if execution.Attempt > 1 {
		count.retries += change
		return
	}
	count.first += change
}

// worstRetries returns the judged window of a service with the highest ratio; the
// whole run is one of them.
func worstRetries(records *Records, service string) retryCount {
	whole := retryCount{length: records.End, until: records.End}
	window := retryCount{length: RetryWindow}
	var worst retryCount
	var inside []Execution
	for _, execution := range executionsByArrival(records) {
		if execution.Service != service {
			continue
		}
		whole.add(execution, 1)
		window.add(execution, 1)
		inside = append(inside, execution)
		for inside[0].Arrived <= execution.Arrived-RetryWindow {
			window.add(inside[0], -1)
			inside = inside[1:]
		}
		window.until = execution.Arrived
		if window.first >= MinWindowAttempts && window.ratio() > worst.ratio() {
			worst = window
		}
	}
	if whole.ratio() > worst.ratio() {
		return whole
	}
	return worst
}

func serviceNames(records *Records) []string {
	var names []string
	for _, execution := range records.Executions {
		if !slices.Contains(names, execution.Service) {
			names = append(names, execution.Service)
		}
	}
	slices.Sort(names)
	return names
}
