package attempts

import "fmt"

// TransitionError reports an event that does not fit the state of a Tracker.
type TransitionError struct {
	Event Event
	// State is the state of the attempt that the event names, if there is one.
	State State
	// Reason says why the event does not fit.
	Reason string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt %d: event %s does not fit (%s): apply events in the order in which they happen",
		e.Event.Attempt, e.Event.Kind, e.Reason)
}
