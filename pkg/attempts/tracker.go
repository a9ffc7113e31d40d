package attempts

import "fmt"

// Options are the rules that a request brings with it.
type Options struct {
	// Repeatable permits a further attempt after one that may have run.
	Repeatable bool
	// Resumable permits a further attempt after one of whose answer a part went
	// to the caller, which goes on behind that part.
	Resumable bool
	// MaxAttempts bounds the attempts; at least 1.
	MaxAttempts int
	// MaxUnsent is how many attempts that ended before any byte could leave do
	// not count.
	MaxUnsent int
}

// Record is one attempt in the ledger.
type Record struct {
	Address string
	State   State
	// Relayed tells that a part of this attempt's answer went to the caller.
	Relayed bool
	// Complete tells that the whole answer has been received.
	Complete bool
	// Unsent tells that the attempt ended before any byte could leave.
	Unsent bool
}

// mayHaveRun tells whether the back end may have run the request. Connecting
// counts, because bytes may leave at any moment of it.
func (r Record) mayHaveRun() bool {
	return r.State != Planned && r.State != RefusedNotRun
}

// running tells whether the attempt has not ended.
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

// Tracker is the record of one request's attempts.
type Tracker struct {
	options            Options
	records            []Record
	deadlineExceeded   bool
	callerDisconnected bool
	exhausted          bool
}

// TransitionError says that an event does not fit the ledger.
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

// New returns an empty ledger.
func New(options Options) *Tracker {
	if options.MaxAttempts < 1 {
		options.MaxAttempts = 1
	}
	return &Tracker{options: options}
}

// Records returns a copy of the attempts in the order of their numbers.
func (l *Tracker) Records() []Record {
	return append([]Record(nil), l.records...)
}

// MayHaveRun tells whether any attempt may have run the request.
func (l *Tracker) MayHaveRun() bool {
	for _, record := range l.records {
		if record.mayHaveRun() {
			return true
		}
	}
	return false
}

// Sent counts the attempts of which a byte may have left.
func (l *Tracker) Sent() int {
	return len(l.records) - l.unsent()
}

// unsent counts the attempts that ended before any byte could leave.
func (l *Tracker) unsent() int {
	count := 0
	for _, record := range l.records {
		if record.Unsent {
			count++
		}
	}
	return count
}

// CallerDisconnected tells whether nobody waits for the answer any more.
func (l *Tracker) CallerDisconnected() bool {
	return l.callerDisconnected
}

// Apply enters an event. A *TransitionError leaves the ledger as it was.
func (l *Tracker) Apply(event Event) error {
	switch event.Kind {
	case DeadlineExceeded:
		l.deadlineExceeded = true
	case CallerDisconnected:
		l.callerDisconnected = true
	case AttemptsExhausted:
		l.exhausted = true
	case AttemptPlanned:
		return l.plan(event)
	default:
		return l.advance(event)
	}
	return nil
}

// plan opens an attempt, which only the ledger's own move permits.
func (l *Tracker) plan(event Event) error {
	next := l.Next()
	if next.Kind != Dispatch || next.Attempt != event.Attempt {
		return &TransitionError{Event: event, Reason: "the next move is " + next.Kind.String()}
	}
	l.records = append(l.records, Record{Address: event.Address, State: Planned})
	return nil
}

// advance moves one attempt on.
func (l *Tracker) advance(event Event) error {
	if event.Attempt < 1 || event.Attempt > len(l.records) {
		return &TransitionError{Event: event, Reason: "there is no such attempt"}
	}
	record := &l.records[event.Attempt-1]
	next, permitted := transition(*record, event.Kind)
	if !permitted {
		return &TransitionError{Event: event, State: record.State, Reason: "the attempt is " + record.State.String()}
	}
	*record = next
	return nil
}

// transition returns what an event makes of an attempt, and whether the event
// is permitted. An attempt that was sent never becomes one that was not.
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
