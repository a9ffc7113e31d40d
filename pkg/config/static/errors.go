package static

import "github.com/ridgeswitch/ridgeswitch/pkg/config/faults"

// Kind classifies a fault of the settings. The values of its constants are stable.
type Kind string

// The kinds of faults.
const (
	// KindUnreadable marks a file that cannot be read, is too large, or is not a YAML or
	// JSON mapping.
	KindUnreadable Kind = "unreadable"
	// KindUnknownField marks a field that is not a setting.
	KindUnknownField Kind = "unknown_field"
	// KindMalformed marks a value of the wrong type.
	KindMalformed Kind = "malformed"
	// KindMissing marks a required setting that is absent or empty.
	KindMissing Kind = "missing"
	// KindInvalid marks a value of the wrong form.
	KindInvalid Kind = "invalid"
	// KindOutOfRange marks a number outside its bounds.
	KindOutOfRange Kind = "out_of_range"
	// KindDuplicate marks a setting that is given more than once, or a value that must be
	// unique and is not.
	KindDuplicate Kind = "duplicate"
	// KindInconsistent marks settings that contradict each other.
	KindInconsistent Kind = "inconsistent"
)

// Error is one fault of the settings. Its message says how to correct it.
type Error struct {
	Kind Kind
	// Field is the name of the setting, such as "seeds[1]"; empty if the fault concerns
	// the whole file.
	Field   string
	Message string
}

// Error returns the name of the setting and the message.
func (e *Error) Error() string { return faults.Text(e.Field, e.Message) }

// Errors contains all faults that were found while settings were read.
type Errors []*Error

// Error returns the faults, one per line.
func (errs Errors) Error() string { return faults.Lines(errs) }

// Unwrap returns the faults, so that errors.As finds each of them.
func (errs Errors) Unwrap() []error { return faults.AsErrors(errs) }
