package checker

// OneCommander requires that at most one node at a time commands a replica: once
// a replica has received a command of one epoch, it receives no command of an
// older epoch, and none from another sender in the same epoch. A command that
// the replica refused breaks the rule as well, because its sender believed that
// it had the right to command the replica.
type OneCommander struct{}

// Name returns the stable name.
func (OneCommander) Name() Name { return "command_holder" }

// Check compares each command with the newest one that its replica received before.
func (rule OneCommander) Check(records *Records) []Violation {
	newest := make(map[string]Command)
	var violations []Violation
	for _, command := range commandsByTime(records) {
		last, known := newest[command.Replica]
		switch {
		case known && command.Epoch < last.Epoch:
			violations = append(violations, violation(rule.Name(), command.At,
				"%s commanded %s in epoch %d after %s had in epoch %d",
				command.Sender, command.Replica, command.Epoch, last.Sender, last.Epoch))
		case known && command.Epoch == last.Epoch && command.Sender != last.Sender:
			violations = append(violations, violation(rule.Name(), command.At,
				"%s and %s both commanded %s in epoch %d",
				last.Sender, command.Sender, command.Replica, command.Epoch))
		default:
			newest[command.Replica] = command
		}
	}
	return violations
}
