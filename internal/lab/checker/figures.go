package checker

import (
	"slices"
	"time"
)

// roundUp is added to a number before truncation, to round it up. It is slightly less
// than 1, so that a product which exceeds a whole number only by a floating-point
// error is not rounded up to the next one.
const roundUp = 0.999999

// Quantile returns the q-quantile (0 to 1) of durations by the nearest rank,
// or 0 if there are no durations.
func Quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	rank := int(q*float64(len(sorted))+roundUp) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// ConfigurationSpread returns, for every acknowledged order and every node whose
// process ran from the order's first sending until ServedBound after its
// acknowledgement, the time from that sending until the first sample that shows
// the node serving the order.
func ConfigurationSpread(records *Records) []time.Duration {
	samples := servingSamples(records)
	var spread []time.Duration
	for _, order := range firstAcknowledgements(records) {
		for _, run := range records.Nodes {
			throughout := run.From <= order.Sent && (!run.Ended || run.To > order.Answered+ServedBound)
			if !throughout {
				continue
			}
			if at, served := servedSince(samples, run.Node, order); served {
				spread = append(spread, at-order.Sent)
			}
		}
	}
	return spread
}

// AcknowledgementTimes returns the time from the first sending of each order
// to its first acknowledgement.
func AcknowledgementTimes(records *Records) []time.Duration {
	var times []time.Duration
	for _, order := range firstAcknowledgements(records) {
		times = append(times, order.Answered-order.Sent)
	}
	return times
}

// firstAcknowledgements returns one Order for each acknowledged order ID, from
// its first sending to its first acknowledgement.
func firstAcknowledgements(records *Records) []Order {
	firstSent := make(map[string]time.Duration)
	seen := make(map[string]bool)
	var found []Order
	for _, order := range ordersBySending(records) {
		if _, known := firstSent[order.OrderID]; !known {
			firstSent[order.OrderID] = order.Sent
		}
		if order.Outcome != OutcomeAcknowledged || seen[order.OrderID] {
			continue
		}
		seen[order.OrderID] = true
		order.Sent = firstSent[order.OrderID]
		found = append(found, order)
	}
	return found
}

// servedSince returns the time of the first sample, taken after the order was sent, that
// shows the node serving the order's revision or a newer one.
func servedSince(samples []ServedSample, node string, order Order) (time.Duration, bool) {
	for _, sample := range samples {
		if sample.Node == node && sample.At >= order.Sent && sample.Revision >= order.Revision {
			return sample.At, true
		}
	}
	return 0, false
}

// AcknowledgedChanges counts the orders that were acknowledged.
func AcknowledgedChanges(records *Records) int {
	return len(firstAcknowledgements(records))
}

// ReusedTokenRatio returns the fraction of prompt tokens, from 0 to 1, that
// executions did not compute again.
func ReusedTokenRatio(records *Records) float64 {
	var prompt, reused uint64
	for _, execution := range records.Executions {
		if !execution.Refused {
			prompt += execution.PromptTokens
			reused += execution.ReusedTokens
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(reused) / float64(prompt)
}
