package attempts

import "fmt"

// TransitionError reports an event that is not permitted in the state of a Tracker.
type TransitionError struct {
	Event Event
	// State is the state of the attempt with the number Event.Attempt, if there is one.
	State State
	// Reason says why the event is not permitted.
	Reason string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt %d: event %s is not permitted (%s): apply events in the order in which they occur",
		e.Event.Attempt, e.Event.Kind, e.Reason)
}
