package outlier

// Outcome is how an attempt on a replica ended, or how it has progressed.
type Outcome int

// The outcomes of attempts.
const (
	// Succeeded means a response in time.
	Succeeded Outcome = iota
	// Slow means a response that started later than the latency target.
	Slow
	// Refused means that the replica did not run the request although it is not
	// known to be full.
	Refused
	// Errored means a response that reports a fault of the replica.
	Errored
	// Overdue means no output for a multiple of the latency target. A missed deadline is
	// not Overdue: the deadline may have been too short.
	Overdue
	// Reset means that the connection broke, or carried data that is not a response.
	Reset
	// Unreached means that no connection could be opened.
	Unreached
	// outcomeCount is the number of outcomes.
	outcomeCount
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	names := [...]string{"succeeded", "slow", "refused", "errored", "overdue", "reset", "unreached"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// failureWeight returns the weight of an outcome as a failure, from 0 to 1. Among all
// outcomes each has a weight of 1.
func (o Outcome) failureWeight() float64 {
	switch o {
	case Succeeded:
		return 0
	case Slow:
		return 0.5
	default:
		return 1
	}
}

// breaksConnection reports whether an outcome makes a replica suspected at once.
func (o Outcome) breaksConnection() bool {
	return o == Reset || o == Unreached
}
