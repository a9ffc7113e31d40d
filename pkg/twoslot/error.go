package twoslot

import "fmt"

// Kind tells what went wrong with a store.
type Kind uint8

// The kinds of errors.
const (
	// KindCorrupt means that acknowledged data can't be read.
	KindCorrupt Kind = iota + 1
	// KindDiskFull means that a write did not fit; nothing changed.
	KindDiskFull
	// KindTooLarge means that records or a payload exceed the format; nothing changed.
	KindTooLarge
	// KindBroken means that an earlier write failed and may or may not be durable.
	KindBroken
)

// Error is the error of a store.
type Error struct {
	Kind Kind
	// Name is the file or store concerned, if known.
	Name string
	// Detail tells what is wrong with it, if more is known.
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

// Error names the store, the remedy and the details.
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
		return "data is larger than a file may hold and nothing was changed; store less at once"
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
