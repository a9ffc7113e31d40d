package outlier

// Outcome is how an attempt on a replica ended, or went so far.
type Outcome int

// The outcomes of attempts.
const (
	// Succeeded means an answer in time.
	Succeeded Outcome = iota
	// Slow means an answer that began later than is aimed at.
	Slow
	// Refused means that the replica did not run the request although it is not
	// known to be full.
	Refused
	// Errored means an answer that tells of a fault of the replica.
	Errored
	// Overdue means that nothing has come for a multiple of the time aimed at. A
	// deadline that passes is no such outcome: it may have been too short.
	Overdue
	// Reset means that the connection broke, or carried what is no answer.
	Reset
	// Unreached means that no connection came about.
	Unreached
	// outcomeCount is how many there are.
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

// failureWeight returns how much an outcome, which counts as 1, counts as a failure.
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

// breaksConnection tells whether an outcome makes a replica suspect at once.
func (o Outcome) breaksConnection() bool {
	return o == Reset || o == Unreached
}
