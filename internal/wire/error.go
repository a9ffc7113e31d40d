package wire

import "fmt"

// ErrorKind is the reason for which Decode rejected a frame.
type ErrorKind uint8

// The reasons to reject a frame.
const (
	// ErrorTooLarge means that the frame exceeds MaxFrameBytes.
	ErrorTooLarge ErrorKind = iota + 1
	// ErrorForeign means that the bytes do not contain this schema's identifier.
	ErrorForeign
	// ErrorMalformed means that offsets, lengths or indexes in the frame are invalid.
	ErrorMalformed
	// ErrorMessageCount means that the frame contains no message, or more than one.
	ErrorMessageCount
)

// Error reports why Decode rejected bytes as a frame.
type Error struct {
	Kind       ErrorKind
	FrameBytes int
}

// Error returns a text that states the fault and its remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case ErrorTooLarge:
		return fmt.Sprintf("wire: frame of %d bytes exceeds %d; send the message in parts", e.FrameBytes, MaxFrameBytes)
	case ErrorForeign:
		return fmt.Sprintf("wire: %d bytes are not a frame of a node; check what connects to the internal address, and that all nodes run the same release", e.FrameBytes)
	case ErrorMessageCount:
		return "wire: frame must carry exactly one message; check that all nodes run the same release"
	default:
		return fmt.Sprintf("wire: frame of %d bytes is malformed; drop it, the sender repeats messages that still matter", e.FrameBytes)
	}
}
