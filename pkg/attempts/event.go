package attempts

// State is what the ledger knows of one attempt.
type State int

// The states of an attempt. Only RefusedNotRun excludes that the back end ran
// the request.
const (
	// Planned means that a back end has been chosen.
	Planned State = iota
	// Connecting means that a connection is being obtained. Bytes may leave at
	// any moment from here on.
	Connecting
	// Sent means that at least one byte of the request may have left.
	Sent
	// Responded means that the back end's answer has begun or is complete.
	Responded
	// RefusedNotRun means that no byte of the request left, or that the back
	// end promised not to run it.
	RefusedNotRun
	// Unknown means that the attempt was sent and its end will not be learnt.
	Unknown
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"planned", "connecting", "sent", "answered", "refused-not-run", "unknown"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// EventKind names an input of the ledger.
type EventKind int

// The inputs of the ledger.
const (
	// AttemptPlanned opens the next attempt.
	AttemptPlanned EventKind = iota
	// ConnectStarted says that a connection is being obtained.
	ConnectStarted
	// BytesMayHaveLeft says that sending has begun.
	BytesMayHaveLeft
	// NotSent says that the attempt ended before any byte could leave.
	NotSent
	// Refused says that the back end promised not to run the request.
	Refused
	// ResponseStarted says that the answer's first bytes go to the caller.
	ResponseStarted
	// ResponseCompleted says that the whole answer has been received.
	ResponseCompleted
	// OutcomeLost says that the attempt's end will not be learnt.
	OutcomeLost
	// DeadlineExceeded says that the request's time is up.
	DeadlineExceeded
	// CallerDisconnected says that nobody waits for the answer any more.
	CallerDisconnected
	// AttemptsExhausted says that no further attempt is possible or permitted.
	AttemptsExhausted
)

// String returns the event's name.
func (k EventKind) String() string {
	names := [...]string{
		"attempt-planned", "connect-started", "bytes-may-have-left", "not-sent", "refused", "answer-began",
		"answer-completed", "end-lost", "deadline-passed", "caller-left", "attempts-exhausted",
	}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Event is one input of the ledger.
type Event struct {
	Kind EventKind
	// Attempt is the number of the attempt, from 1. It is 0 for events that
	// concern the request as a whole.
	Attempt int
	// Address is the back end of an AttemptPlanned event.
	Address string
}

// ActionKind tells what is to be done next.
type ActionKind int

// The moves that a ledger asks for.
const (
	// Dispatch asks for attempt number Move.Attempt.
	Dispatch ActionKind = iota
	// Wait says that attempt Move.Attempt is still running.
	Wait
	// Cancel asks for the end of attempt Move.Attempt, which is still running.
	Cancel
	// Relay asks to hand on the answer of attempt Move.Attempt.
	Relay
	// AbortRelay asks to end an answer that was cut, so that it cannot be
	// taken for a complete one.
	AbortRelay
	// RespondNotRun asks for an error which says that the request has not run.
	RespondNotRun
	// RespondUnknown asks for an error which says that the request may have
	// run.
	RespondUnknown
	// RespondDeadline asks for an error which says that the time is up.
	RespondDeadline
	// Abandon says that nobody waits for an answer.
	Abandon
)

// String returns the move's name.
func (k ActionKind) String() string {
	names := [...]string{
		"dispatch", "wait", "cancel", "relay", "abort-relay", "answer-not-run", "answer-unknown",
		"answer-deadline", "abandon",
	}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Action is what is to be done next for the request.
type Action struct {
	Kind ActionKind
	// Attempt is the attempt that the move concerns, from 1, or 0.
	Attempt int
}
