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
		case record.State == Unknown && record.Relayed:
			return Move{Kind: AbortRelay, Attempt: number}, true
		case record.running():
			return Move{Kind: l.moveWhileRunning(record), Attempt: number}, true
		case record.State == Answered:
			return Move{Kind: Relay, Attempt: number}, true
		}
	}
	return Move{}, false
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
	if l.exhausted || len(l.records) >= l.options.MaxAttempts {
		return false
	}
	return l.options.Repeatable || !l.MayHaveRun()
}
