package operatorcli

// The exit statuses of operator verbs; see the package comment.
const (
	ExitRefused    = 1
	ExitUsage      = 2
	ExitPending    = 3
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
