package twoslot

import "fmt"

// Kind tells what a store cannot do.
type Kind uint8

// The kinds of faults.
const (
	// KindCorrupt stores hold acknowledged data that cannot be read.
	KindCorrupt Kind = iota + 1
	// KindDiskFull writes did not fit; nothing changed.
	KindDiskFull
	// KindTooLarge records or payloads exceed the format; nothing changed.
	KindTooLarge
	// KindBroken stores had a write of which nobody knows how it ended.
	KindBroken
)

// Error is a fault of a store.
type Error struct {
	Kind Kind
	// Name is the file or store at fault, if known.
	Name string
	// Detail says what is wrong with it, if there is more to say.
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

// Error names the fault and its remedy.
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
