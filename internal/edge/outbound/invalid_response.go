package outbound

// InvalidResponseError says that a response is truncated, that truncation could not be
// noticed, or that the response is not that of the attempt. The request may have
// run.
type InvalidResponseError struct {
	Reason string
	// Cause is what was seen of the connection; it may be nil.
	Cause error
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	if e.Cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error {
	return e.Cause
}
