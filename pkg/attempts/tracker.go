package attempts

import "slices"

// Options are the rules for the attempts of one request.
type Options struct {
	// Idempotent permits a further attempt after one that may have run.
	Idempotent bool
	// Resumable permits a further attempt after one whose response was relayed in
	// part; the further attempt resumes the response after that part.
	Resumable bool
	// MaxAttempts is the maximum number of attempts; at least 1.
	MaxAttempts int
	// MaxUnsent is how many attempts that ended before any byte could leave do not
	// count towards MaxAttempts.
	MaxUnsent int
}

// Record is the state of one attempt.
type Record struct {
	Address string
	State   State
	// Relayed reports whether a part of the response went to the caller.
	Relayed bool
	// Complete reports whether the response has been received completely.
	Complete bool
	// Unsent reports whether the attempt ended before any byte could leave.
	Unsent bool
}

// mayHaveRun reports whether the back end may have run the request. It returns true for
// Connecting, because bytes may leave at any time in that state.
func (r Record) mayHaveRun() bool {
	return r.State != Planned && r.State != RefusedNotRun
}

// running reports whether the attempt has not ended.
func (r Record) running() bool {
	switch r.State {
	case Planned, Connecting, Sent:
		return true
	case Responded:
		return !r.Complete
	default:
		return false
	}
}

// Tracker is the record of the attempts of one request. Apply adds events to it, and Next
// returns the next action.
type Tracker struct {
	options Options
	// records are the attempts in the order of their numbers, which begin with 1.
	records []Record
	// The events of the request as a whole that have occurred; they are never reset.
	deadlineExceeded   bool
	callerDisconnected bool
	exhausted          bool
}

// New returns a Tracker without attempts.
func New(options Options) *Tracker {
	if options.MaxAttempts < 1 {
		options.MaxAttempts = 1
	}
	return &Tracker{options: options}
}

// Records returns a copy of the attempts in the order of their numbers.
func (t *Tracker) Records() []Record {
	return slices.Clone(t.records)
}

// MayHaveRun reports whether any attempt may have run the request.
func (t *Tracker) MayHaveRun() bool {
	for _, record := range t.records {
		if record.mayHaveRun() {
			return true
		}
	}
	return false
}

// Sent counts the attempts of which a byte may have left.
func (t *Tracker) Sent() int {
	return len(t.records) - t.unsent()
}

// unsent counts the attempts that ended before any byte could leave.
func (t *Tracker) unsent() int {
	count := 0
	for _, record := range t.records {
		if record.Unsent {
			count++
		}
	}
	return count
}

// CallerDisconnected reports whether the caller no longer waits for the response.
func (t *Tracker) CallerDisconnected() bool {
	return t.callerDisconnected
}

// Apply applies an event. If the event is not permitted, Apply returns a *TransitionError
// and changes nothing.
func (t *Tracker) Apply(event Event) error {
	switch event.Kind {
	case DeadlineExceeded:
		t.deadlineExceeded = true
	case CallerDisconnected:
		t.callerDisconnected = true
	case AttemptsExhausted:
		t.exhausted = true
	case AttemptPlanned:
		return t.plan(event)
	default:
		return t.advance(event)
	}
	return nil
}

// plan adds an attempt. It is permitted only if the next action is to dispatch that attempt.
func (t *Tracker) plan(event Event) error {
	next := t.Next()
	if next.Kind != Dispatch || next.Attempt != event.Attempt {
		return &TransitionError{Event: event, Reason: "the next action is " + next.Kind.String()}
	}
	t.records = append(t.records, Record{Address: event.Address, State: Planned})
	return nil
}

// advance applies an event to one attempt.
func (t *Tracker) advance(event Event) error {
	if event.Attempt < 1 || event.Attempt > len(t.records) {
		return &TransitionError{Event: event, Reason: "there is no such attempt"}
	}
	record := &t.records[event.Attempt-1]
	next, permitted := transition(*record, event.Kind)
	if !permitted {
		return &TransitionError{Event: event, State: record.State, Reason: "the attempt is " + record.State.String()}
	}
	*record = next
	return nil
}

// transition returns the record of an attempt after an event, and whether the event is
// permitted. No event turns an attempt that was sent into an unsent one.
func transition(record Record, kind EventKind) (Record, bool) {
	from := record.State
	partial := from == Responded && !record.Complete
	switch kind {
	case ConnectStarted:
		record.State = Connecting
		return record, from == Planned
	case BytesMayHaveLeft:
		record.State = Sent
		return record, from == Connecting
	case NotSent:
		record.State = RefusedNotRun
		record.Unsent = true
		return record, from == Planned || from == Connecting
	case Refused:
		record.State = RefusedNotRun
		return record, from == Sent
	case ResponseStarted:
		record.State = Responded
		record.Relayed = true
		return record, from == Sent
	case ResponseCompleted:
		record.State = Responded
		record.Complete = true
		return record, from == Sent || partial
	case OutcomeLost:
		record.State = Unknown
		return record, from == Sent || partial
	default:
		return record, false
	}
}
