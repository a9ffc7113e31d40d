package operatorcli

// The exit statuses of operator verbs, beside 0 for success.
const (
	// ExitRefused means that a node rejected the call, or that "config check" found
	// faults.
	ExitRefused = 1
	// ExitUsage means that the command line or a file is wrong. Nothing was sent.
	ExitUsage = 2
	// ExitPending means that an order may take effect. A resend with the same order ID is
	// safe.
	ExitPending = 3
	// ExitUnanswered means that no node gave a final response. An order may take effect
	// all the same.
	ExitUnanswered = 4
)

// ExitError ends a verb with an exit status.
type ExitError struct {
	Code    int
	Message string
}

// Error is the message, which names the remedy.
func (e *ExitError) Error() string {
	return e.Message
}

// ExitCode is the exit status of the process.
func (e *ExitError) ExitCode() int {
	return e.Code
}

func usageError(message string) error {
	return &ExitError{Code: ExitUsage, Message: message}
}
