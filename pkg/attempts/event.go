package attempts

// State is the state of one attempt.
type State int

// The states of an attempt. The back end may have run the request in every state but
// Planned and RefusedNotRun.
const (
	// Planned means that a back end has been chosen.
	Planned State = iota
	// Connecting means that a connection is being obtained. From this state on, bytes of
	// the request may leave at any time.
	Connecting
	// Sent means that at least one byte of the request may have left.
	Sent
	// Responded means that the back end's response has started or is complete.
	Responded
	// RefusedNotRun means that no byte of the request left, or that the back
	// end promised not to run it.
	RefusedNotRun
	// Unknown means that the attempt was sent and its outcome will never be known.
	Unknown
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"planned", "connecting", "sent", "responded", "refused-not-run", "unknown"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// AttemptPlanned adds the next attempt.
	AttemptPlanned EventKind = iota
	// ConnectStarted says that a connection is being obtained.
	ConnectStarted
	// BytesMayHaveLeft says that sending has begun.
	BytesMayHaveLeft
	// NotSent says that the attempt ended before any byte could leave.
	NotSent
	// Refused says that the back end promised not to run the request.
	Refused
	// ResponseStarted says that the first bytes of the response go to the caller.
	ResponseStarted
	// ResponseCompleted says that the response has been received completely.
	ResponseCompleted
	// OutcomeLost says that the outcome of the attempt will never be known.
	OutcomeLost
	// DeadlineExceeded says that the deadline of the request has passed.
	DeadlineExceeded
	// CallerDisconnected says that the caller no longer waits for the response.
	CallerDisconnected
	// AttemptsExhausted says that no further attempt is possible or permitted.
	AttemptsExhausted
)

// String returns the event's name.
func (k EventKind) String() string {
	names := [...]string{
		"attempt-planned", "connect-started", "bytes-may-have-left", "not-sent", "refused", "response-started",
		"response-completed", "outcome-lost", "deadline-exceeded", "caller-disconnected", "attempts-exhausted",
	}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Event is one input of a Tracker.
type Event struct {
	Kind EventKind
	// Attempt is the number of the attempt, from 1. It is 0 for events that
	// concern the request as a whole.
	Attempt int
	// Address is the back end of an AttemptPlanned event.
	Address string
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	// Dispatch asks to send the request as attempt number Action.Attempt.
	Dispatch ActionKind = iota
	// Wait says that attempt Action.Attempt is still running.
	Wait
	// Cancel asks to cancel attempt Action.Attempt, which is still running.
	Cancel
	// Relay asks to relay the response of attempt Action.Attempt.
	Relay
	// AbortRelay asks to end a truncated response, so that it cannot be mistaken
	// for a complete one.
	AbortRelay
	// RespondNotRun asks for an error which says that the request has not run.
	RespondNotRun
	// RespondUnknown asks for an error which says that the request may have
	// run.
	RespondUnknown
	// RespondDeadline asks for an error which says that the deadline has passed.
	RespondDeadline
	// Abandon says that the caller has disconnected and no response is needed.
	Abandon
)

// String returns the name of the action.
func (k ActionKind) String() string {
	names := [...]string{
		"dispatch", "wait", "cancel", "relay", "abort-relay", "respond-not-run", "respond-unknown",
		"respond-deadline", "abandon",
	}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Action is what is to be done next for the request.
type Action struct {
	Kind ActionKind
	// Attempt is the number of the attempt that the action concerns, from 1, or 0.
	Attempt int
}
