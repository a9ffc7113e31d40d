package attempts

// Next returns the next action. It changes nothing.
func (l *Tracker) Next() Action {
	if action, decided := l.actionForAttempt(); decided {
		return action
	}
	if l.callerDisconnected {
		return Action{Kind: Abandon}
	}
	if l.deadlineExceeded {
		return Action{Kind: RespondDeadline}
	}
	if l.mayDispatch() {
		return Action{Kind: Dispatch, Attempt: len(l.records) + 1}
	}
	if l.MayHaveRun() {
		return Action{Kind: RespondUnknown}
	}
	return Action{Kind: RespondNotRun}
}

// actionForAttempt returns the action that a completed or running attempt requires, if
// there is one.
func (l *Tracker) actionForAttempt() (Action, bool) {
	for position, record := range l.records {
		number := position + 1
		switch {
		case record.running():
			return Action{Kind: l.actionWhileRunning(record), Attempt: number}, true
		case record.State == Responded:
			return Action{Kind: Relay, Attempt: number}, true
		}
	}
	if truncated := l.truncatedRelay(); truncated > 0 && !l.mayResume() {
		return Action{Kind: AbortRelay, Attempt: truncated}, true
	}
	return Action{}, false
}

// truncatedRelay returns the number of the last attempt whose response went to the
// caller in part only, or 0.
func (l *Tracker) truncatedRelay() int {
	for position := len(l.records) - 1; position >= 0; position-- {
		if record := l.records[position]; record.State == Unknown && record.Relayed {
			return position + 1
		}
	}
	return 0
}

// mayResume reports whether another attempt may resume a truncated response.
func (l *Tracker) mayResume() bool {
	return l.options.Resumable && !l.callerDisconnected && !l.deadlineExceeded && l.attemptsRemain()
}

// actionWhileRunning decides over an attempt that has not ended. It is cancelled
// as soon as nobody can use its response.
func (l *Tracker) actionWhileRunning(record Record) ActionKind {
	if l.callerDisconnected || l.deadlineExceeded {
		return Cancel
	}
	if record.Relayed {
		return Relay
	}
	return Wait
}

// mayDispatch reports whether another attempt is permitted.
func (l *Tracker) mayDispatch() bool {
	if !l.attemptsRemain() {
		return false
	}
	return l.options.Idempotent || !l.MayHaveRun()
}

// attemptsRemain reports whether the bounds permit another attempt.
func (l *Tracker) attemptsRemain() bool {
	counted := len(l.records) - min(l.unsent(), l.options.MaxUnsent)
	return !l.exhausted && counted < l.options.MaxAttempts
}
