package attempts

// Next derives the next move from the ledger.
func (l *Ledger) Next() Move {
	if move, decided := l.moveForAttempt(); decided {
		return move
	}
	if l.callerLeft {
		return Move{Kind: Abandon}
	}
	if l.deadlinePassed {
		return Move{Kind: AnswerDeadline}
	}
	if l.mayDispatch() {
		return Move{Kind: Dispatch, Attempt: len(l.records) + 1}
	}
	if l.MayHaveRun() {
		return Move{Kind: AnswerUnknown}
	}
	return Move{Kind: AnswerNotRun}
}

// moveForAttempt returns the move that an answered or running attempt decides.
func (l *Ledger) moveForAttempt() (Move, bool) {
	for position, record := range l.records {
		number := position + 1
		switch {
		case record.running():
			return Move{Kind: l.moveWhileRunning(record), Attempt: number}, true
		case record.State == Answered:
			return Move{Kind: Relay, Attempt: number}, true
		}
	}
	if cut := l.cutRelay(); cut > 0 && !l.mayResume() {
		return Move{Kind: AbortRelay, Attempt: cut}, true
	}
	return Move{}, false
}

// cutRelay returns the number of the last attempt of whose answer only a part
// went to the caller, or 0.
func (l *Ledger) cutRelay() int {
	for position := len(l.records) - 1; position >= 0; position-- {
		if record := l.records[position]; record.State == Unknown && record.Relayed {
			return position + 1
		}
	}
	return 0
}

// mayResume tells whether another attempt may go on where a cut answer ended.
func (l *Ledger) mayResume() bool {
	return l.options.Resumable && !l.callerLeft && !l.deadlinePassed && l.attemptLeft()
}

// moveWhileRunning decides over an attempt that has not ended. It is cancelled
// as soon as nobody can use its answer.
func (l *Ledger) moveWhileRunning(record Record) MoveKind {
	if l.callerLeft || l.deadlinePassed {
		return Cancel
	}
	if record.Relayed {
		return Relay
	}
	return Wait
}

// mayDispatch tells whether another attempt is permitted.
func (l *Ledger) mayDispatch() bool {
	if !l.attemptLeft() {
		return false
	}
	return l.options.Repeatable || !l.MayHaveRun()
}

// attemptLeft tells whether the bounds permit another attempt.
func (l *Ledger) attemptLeft() bool {
	counted := len(l.records) - min(l.unsent(), l.options.MaxUnsent)
	return !l.exhausted && counted < l.options.MaxAttempts
}
