package operatorcli

// The exit statuses of operator verbs other than 0, which means success.
const (
	// ExitRefused means that a node refused the call, or that "config check" found
	// faults.
	ExitRefused = 1
	// ExitUsage means that the command line or a file is wrong. Nothing was sent.
	ExitUsage = 2
	// ExitPending means that a node accepted an order but did not confirm it. The order may
	// take effect. A resend with the same order ID is safe.
	ExitPending = 3
	// ExitUnanswered means that no node gave a final or pending response. An order may
	// nevertheless take effect.
	ExitUnanswered = 4
)

// ExitError is an error with which a verb ends, and its exit status.
type ExitError struct {
	Code    int
	Message string
}

// Error returns the message, which names the remedy.
func (e *ExitError) Error() string {
	return e.Message
}

// ExitCode returns the exit status of the process.
func (e *ExitError) ExitCode() int {
	return e.Code
}

func usageError(message string) error {
	return &ExitError{Code: ExitUsage, Message: message}
}
