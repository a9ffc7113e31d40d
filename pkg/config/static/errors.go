package static

import "github.com/ridgeswitch/ridgeswitch/pkg/config/faults"

// Kind is the stable name of what is wrong with a setting.
type Kind string

// The kinds of faults. Each message names the remedy.
const (
	// KindUnreadable marks a file that cannot be read or is no YAML or JSON.
	KindUnreadable Kind = "unreadable"
	// KindUnknownField marks a field that settings do not have.
	KindUnknownField Kind = "unknown_field"
	// KindMalformed marks a value of the wrong type.
	KindMalformed Kind = "malformed"
	// KindMissing marks a required setting that is absent or empty.
	KindMissing Kind = "missing"
	// KindInvalid marks a value of the wrong form.
	KindInvalid Kind = "invalid"
	// KindOutOfRange marks a number outside its bounds.
	KindOutOfRange Kind = "out_of_range"
	// KindDuplicate marks a value that is given twice and must not be.
	KindDuplicate Kind = "duplicate"
	// KindInconsistent marks settings that contradict each other.
	KindInconsistent Kind = "inconsistent"
)

// Error is one fault of the settings. Its message names the remedy.
type Error struct {
	Kind Kind
	// Field is the name of the setting, such as "seeds[1]"; empty when the
	// whole file is meant.
	Field   string
	Message string
}

// Error describes the fault with the name of the setting.
func (e *Error) Error() string { return faults.Text(e.Field, e.Message) }

// Errors are all faults found while a settings file was read.
type Errors []*Error

// Error lists the faults, one a line.
func (errs Errors) Error() string { return faults.Lines(errs) }

// Unwrap gives errors.As access to the single faults.
func (errs Errors) Unwrap() []error { return faults.AsErrors(errs) }
