package checker

import (
	"slices"
	"time"
)

// executionsByArrival returns a sorted copy of the executions.
func executionsByArrival(records *Records) []Execution {
	sorted := slices.Clone(records.Executions)
	slices.SortStableFunc(sorted, func(left, right Execution) int {
		return compareTimes(left.Arrived, right.Arrived)
	})
	return sorted
}

// ordersBySending returns a sorted copy of the submissions.
func ordersBySending(records *Records) []Order {
	sorted := slices.Clone(records.Orders)
	slices.SortStableFunc(sorted, func(left, right Order) int {
		return compareTimes(left.Sent, right.Sent)
	})
	return sorted
}

// samplesByTime returns a sorted copy of the samples of what nodes serve.
func samplesByTime(records *Records) []ServedSample {
	sorted := slices.Clone(records.Served)
	slices.SortStableFunc(sorted, func(left, right ServedSample) int {
		return compareTimes(left.At, right.At)
	})
	return sorted
}

func compareTimes(left, right time.Duration) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	default:
		return 0
	}
}
