package twoslot

import "fmt"

// Kind classifies the errors of a store.
type Kind uint8

// The kinds of errors.
const (
	// KindCorrupt means that acknowledged data can't be read.
	KindCorrupt Kind = iota + 1
	// KindDiskFull means that a write did not fit; nothing changed.
	KindDiskFull
	// KindTooLarge means that records or a payload are larger than the file format allows;
	// nothing changed.
	KindTooLarge
	// KindBroken means that this write or an earlier one failed and may or may not be
	// durable.
	KindBroken
)

// Error is the error of a store.
type Error struct {
	Kind Kind
	// Name is the name of the affected file or store, if known.
	Name string
	// Detail describes the fault, if more than its kind is known.
	Detail string
	// Cause is the error of the disk, if there is one.
	Cause error
}

// Targets for errors.Is; they match every Error of their kind.
var (
	ErrCorrupt  = &Error{Kind: KindCorrupt}
	ErrDiskFull = &Error{Kind: KindDiskFull}
	ErrTooLarge = &Error{Kind: KindTooLarge}
	ErrBroken   = &Error{Kind: KindBroken}
)

// Error returns the name, the fault with its remedy, the details and the cause.
func (e *Error) Error() string {
	message := fmt.Sprintf("twoslot: %s: %s", e.Name, e.remedy())
	if e.Detail != "" {
		message += ": " + e.Detail
	}
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	return message
}

func (e *Error) remedy() string {
	switch e.Kind {
	case KindCorrupt:
		return "stored state is damaged; move the data folder away and let the node join again with an empty one"
	case KindDiskFull:
		return "disk is full and nothing was changed; free space and try again"
	case KindTooLarge:
		return "data is larger than the file format allows and nothing was changed; store less data at once"
	default:
		return "a write failed and may or may not be durable; open the store again"
	}
}

// Is matches errors of the same kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == e.Kind
}

// Unwrap returns the error of the disk.
func (e *Error) Unwrap() error {
	return e.Cause
}
