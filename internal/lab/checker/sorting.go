package checker

import (
	"cmp"
	"slices"
	"time"
)

// sortedByTime returns a copy of records, sorted by the time that timeOf returns for
// each. Records with equal times keep their order.
func sortedByTime[Record any](records []Record, timeOf func(Record) time.Duration) []Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(left, right Record) int {
		return cmp.Compare(timeOf(left), timeOf(right))
	})
	return sorted
}

func requestsBySending(records *Records) []Request {
	return sortedByTime(records.Requests, func(request Request) time.Duration { return request.Sent })
}

func executionsByArrival(records *Records) []Execution {
	return sortedByTime(records.Executions, func(execution Execution) time.Duration { return execution.Arrived })
}

func commandsByTime(records *Records) []Command {
	return sortedByTime(records.Commands, func(command Command) time.Duration { return command.At })
}

// ordersBySending returns the submissions of all orders, including resends.
func ordersBySending(records *Records) []Order {
	return sortedByTime(records.Orders, func(order Order) time.Duration { return order.Sent })
}

// samplesByTime returns the samples of what nodes serve.
func samplesByTime(records *Records) []ServedSample {
	return sortedByTime(records.Served, func(sample ServedSample) time.Duration { return sample.At })
}

// endpointsByTime returns the history of the platform's list.
func endpointsByTime(records *Records) []EndpointSample {
	return sortedByTime(records.Listings, func(sample EndpointSample) time.Duration { return sample.At })
}
