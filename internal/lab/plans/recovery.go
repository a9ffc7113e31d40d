package plans

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// Names of what the package judges beside the checker's invariants.
const (
	// OrdersReturn checks that orders are acknowledged again within the bound.
	OrdersReturn checker.Name = "orders_return"
	// AcknowledgedKept checks that what was acknowledged is there at the end.
	AcknowledgedKept checker.Name = "acknowledged_kept"
)

// Disturbance is the moment at which a fault began.
type Disturbance struct {
	Name string        `json:"name"`
	At   time.Duration `json:"at_ns"`
}

// Recovery is how long service was away.
type Recovery struct {
	// Orders is the longest time without an acknowledgement since a
	// disturbance, Callers without a complete answer of some service.
	Orders  time.Duration
	Callers time.Duration
}

// Longest is the longer of both.
func (recovery Recovery) Longest() time.Duration { return max(recovery.Orders, recovery.Callers) }

// MeasureRecovery returns the longest times without service since the first
// disturbance. Orders were submitted without a longer pause until submitted.
func MeasureRecovery(records *checker.Records, disturbances []Disturbance, submitted time.Duration) Recovery {
	starts := lo.Map(disturbances, func(one Disturbance, _ int) time.Duration { return one.At })
	recovery := Recovery{Orders: longestGap(acknowledgements(records), starts, submitted)}
	lastSent := make(map[string]time.Duration)
	completions := make(map[string][]time.Duration)
	for _, request := range records.Requests {
		lastSent[request.Service] = max(lastSent[request.Service], request.Sent)
		if request.Result == checker.ResultComplete {
			completions[request.Service] = append(completions[request.Service], request.Ended)
		}
	}
	for service, until := range lastSent {
		recovery.Callers = max(recovery.Callers, longestGap(completions[service], starts, until))
	}
	return recovery
}

// acknowledgements returns when orders were acknowledged for the first time.
// The answer to a resend says nothing of whether changes can be made.
func acknowledgements(records *checker.Records) []time.Duration {
	first := make(map[string]time.Duration)
	for _, order := range records.Orders {
		if order.Outcome != checker.OutcomeAcknowledged {
			continue
		}
		if earlier, known := first[order.OrderID]; !known || order.Answered < earlier {
			first[order.OrderID] = order.Answered
		}
	}
	return lo.Values(first)
}

// longestGap returns the longest span without an event, from the first disturbance
// until the last moment at which events were due. Later disturbances do not split a
// gap in two: the end of a fault is recorded as one as well, and the gap before it is
// caused by the fault.
func longestGap(events, disturbances []time.Duration, until time.Duration) time.Duration {
	if len(disturbances) == 0 {
		return 0
	}
	previous := slices.Min(disturbances)
	ends := append(lo.Filter(events, func(at time.Duration, _ int) bool { return at > previous && at < until }), until)
	slices.Sort(ends)
	var longest time.Duration
	for _, end := range ends {
		longest = max(longest, end-previous)
		previous = end
	}
	return longest
}

// checkOrders reports orders that stayed away for longer than services may.
func (recovery Recovery) checkOrders(at time.Duration) []checker.Violation {
	if recovery.Orders <= checker.OutageBound {
		return nil
	}
	return []checker.Violation{{
		Invariant: OrdersReturn, At: at,
		Detail: "no order was acknowledged for " + recovery.Orders.String() + " after a disturbance",
	}}
}
