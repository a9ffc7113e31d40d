package wire

import "fmt"

// ErrorKind is the reason for which Decode rejected a frame.
type ErrorKind uint8

// The reasons to reject a frame.
const (
	// ErrorTooLarge frames exceed MaxFrameBytes.
	ErrorTooLarge ErrorKind = iota + 1
	// ErrorForeign frames do not carry this schema's identifier.
	ErrorForeign
	// ErrorMalformed frames have offsets or lengths that do not fit them.
	ErrorMalformed
	// ErrorMessageCount frames carry no message, or more than one.
	ErrorMessageCount
)

// Error means that bytes are not a frame of a node.
type Error struct {
	Kind       ErrorKind
	FrameBytes int
}

// Error names the fault and its remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case ErrorTooLarge:
		return fmt.Sprintf("wire: frame of %d bytes exceeds %d; send the message in parts", e.FrameBytes, MaxFrameBytes)
	case ErrorForeign:
		return fmt.Sprintf("wire: %d bytes are not a frame of a node; check what connects to the internal address, and that all nodes run the same release", e.FrameBytes)
	case ErrorMessageCount:
		return "wire: frame must carry exactly one message; check that all nodes run the same release"
	default:
		return fmt.Sprintf("wire: frame of %d bytes is damaged; drop it, the sender repeats what matters", e.FrameBytes)
	}
}
