package recording

import "fmt"

// FaultKind is the stable name of what is wrong with a line.
type FaultKind string

// The kinds of faults.
const (
	// FaultTorn is a line that ends before its JSON does, or a compressed file
	// that ends too early.
	FaultTorn FaultKind = "torn"
	// FaultInvalid is a line that is no record, header or note.
	FaultInvalid FaultKind = "invalid"
	// FaultVersion is a header of a version that this program does not know, and
	// every record that follows it.
	FaultVersion FaultKind = "unknown_version"
	// FaultTooLong is a line of more than MaxLineBytes.
	FaultTooLong FaultKind = "too_long"
)

// Fault is a line that could not be used.
type Fault struct {
	// Line counts from 1.
	Line    int       `json:"line"`
	Kind    FaultKind `json:"kind"`
	Message string    `json:"message"`
}

// MaxNamedFaults bounds the faults that are named one by one.
const MaxNamedFaults = 20

// Faults are the lines of a recording that could not be used. All are counted
// and the first MaxNamedFaults are named.
type Faults struct {
	Torn           int     `json:"torn"`
	Invalid        int     `json:"invalid"`
	UnknownVersion int     `json:"unknown_version"`
	TooLong        int     `json:"too_long"`
	First          []Fault `json:"first,omitempty"`
}

// Total counts the faults of all kinds.
func (f *Faults) Total() int {
	return f.Torn + f.Invalid + f.UnknownVersion + f.TooLong
}

func (f *Faults) add(line int, kind FaultKind, message string) {
	switch kind {
	case FaultTorn:
		f.Torn++
	case FaultVersion:
		f.UnknownVersion++
	case FaultTooLong:
		f.TooLong++
	default:
		f.Invalid++
	}
	if len(f.First) < MaxNamedFaults {
		f.First = append(f.First, Fault{Line: line, Kind: kind, Message: message})
	}
}

// EmptyError says that a recording holds no request to replay.
type EmptyError struct {
	// Lines counts the lines that were read, Faults those that could not be used.
	Lines  int
	Faults Faults
}

// Error names the remedy.
func (e *EmptyError) Error() string {
	message := fmt.Sprintf("the recording holds no usable request (%d lines, %d of them faulty); "+
		"give a file that a node wrote with the setting record_file, or one of \"ridgeswitch-replay generate\"", e.Lines, e.Faults.Total())
	if len(e.Faults.First) > 0 {
		first := e.Faults.First[0]
		message += fmt.Sprintf("; line %d is %s: %s", first.Line, first.Kind, first.Message)
	}
	return message
}
