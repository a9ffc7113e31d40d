package attempts

// Next returns the next action. It changes nothing.
func (t *Tracker) Next() Action {
	if action, decided := t.actionForAttempt(); decided {
		return action
	}
	if t.callerDisconnected {
		return Action{Kind: Abandon}
	}
	if t.deadlineExceeded {
		return Action{Kind: RespondDeadline}
	}
	if t.mayDispatch() {
		return Action{Kind: Dispatch, Attempt: len(t.records) + 1}
	}
	if t.MayHaveRun() {
		return Action{Kind: RespondUnknown}
	}
	return Action{Kind: RespondNotRun}
}

// actionForAttempt returns the action that one of the attempts requires, if any: an attempt
// that is running, that has a complete response, or whose response was relayed in part and
// may not be resumed.
func (t *Tracker) actionForAttempt() (Action, bool) {
	for position, record := range t.records {
		number := position + 1
		switch {
		case record.running():
			return Action{Kind: t.actionWhileRunning(record), Attempt: number}, true
		case record.State == Responded:
			return Action{Kind: Relay, Attempt: number}, true
		}
	}
	if truncated := t.truncatedRelay(); truncated > 0 && !t.mayResume() {
		return Action{Kind: AbortRelay, Attempt: truncated}, true
	}
	return Action{}, false
}

// truncatedRelay returns the number of the last attempt whose response went to the
// caller in part only, or 0.
func (t *Tracker) truncatedRelay() int {
	for position := len(t.records) - 1; position >= 0; position-- {
		if record := t.records[position]; record.State == Unknown && record.Relayed {
			return position + 1
		}
	}
	return 0
}

// mayResume reports whether another attempt may resume a truncated response.
func (t *Tracker) mayResume() bool {
	return t.options.Resumable && !t.callerDisconnected && !t.deadlineExceeded && t.attemptsRemain()
}

// actionWhileRunning returns the action for an attempt that has not ended. The attempt is
// cancelled if its response is of no use any more.
func (t *Tracker) actionWhileRunning(record Record) ActionKind {
	if t.callerDisconnected || t.deadlineExceeded {
		return Cancel
	}
	if record.Relayed {
		return Relay
	}
	return Wait
}

// mayDispatch reports whether another attempt is permitted.
func (t *Tracker) mayDispatch() bool {
	if !t.attemptsRemain() {
		return false
	}
	return t.options.Idempotent || !t.MayHaveRun()
}

// attemptsRemain reports whether MaxAttempts permits another attempt and no event has ruled
// it out. Up to MaxUnsent unsent attempts do not count.
func (t *Tracker) attemptsRemain() bool {
	counted := len(t.records) - min(t.unsent(), t.options.MaxUnsent)
	return !t.exhausted && counted < t.options.MaxAttempts
}
