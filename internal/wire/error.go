package wire

import "fmt"

// Kind is the reason for which a frame was rejected.
type Kind uint8

// The reasons to reject a frame.
const (
	// KindTooLarge frames exceed MaxFrameBytes.
	KindTooLarge Kind = iota + 1
	// KindForeign frames do not carry this schema's identifier.
	KindForeign
	// KindMalformed frames have offsets or lengths that do not fit them.
	KindMalformed
	// KindMessageCount frames carry no message, or more than one.
	KindMessageCount
)

// Error means that bytes are not a frame of a node.
type Error struct {
	Kind       Kind
	FrameBytes int
}

// Error names the fault and its remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case KindTooLarge:
		return fmt.Sprintf("wire: frame of %d bytes exceeds %d; send the message in parts", e.FrameBytes, MaxFrameBytes)
	case KindForeign:
		return fmt.Sprintf("wire: %d bytes are not a frame of a node; check what connects to the internal address, and that all nodes run the same release", e.FrameBytes)
	case KindMessageCount:
		return "wire: frame must carry exactly one message; check that all nodes run the same release"
	default:
		return fmt.Sprintf("wire: frame of %d bytes is damaged; drop it, the sender repeats what matters", e.FrameBytes)
	}
}
