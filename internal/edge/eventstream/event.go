package eventstream

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// Names of the standard's fields.
const (
	FieldData  = "data"
	FieldEvent = "event"
	FieldID    = "id"
	FieldRetry = "retry"
)

// Field is one line of an event.
type Field struct {
	Name, Value []byte
}

// Event is a complete event. It has no fields if its lines are blank or comments, so that it carries
// nothing.
type Event struct {
	// Text is the event as it was received, up to and including the blank line at its end.
	Text []byte
	// Fields are the lines of the event in their order, without comments.
	Fields []Field
}

// FormatError reports bytes of a stream that are not an event.
type FormatError struct {
	Reason string
	// Text is what was received in place of an event. It is not part of the message, since
	// it may hold what was generated for a request.
	Text []byte
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%d bytes are no event of a stream: %s", len(e.Text), e.Reason)
}

// parse returns the event of a text that ends with a blank line. The fields are appended to the given
// slice. The error is a *FormatError.
func parse(text []byte, fields []Field) (Event, error) {
	if !utf8.Valid(text) {
		return Event{}, &FormatError{Reason: "it is not UTF-8", Text: text}
	}
	for line := range bytes.Lines(text) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if bytes.IndexByte(line, '\r') >= 0 {
			return Event{}, &FormatError{Reason: "a carriage return is not followed by a line feed", Text: text}
		}
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		fields = append(fields, Field{Name: name, Value: bytes.TrimPrefix(value, []byte(" "))})
	}
	return Event{Text: text, Fields: fields}, nil
}
