package eventstream

import (
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// bufferBytes is the base size of a reader's buffer.
	bufferBytes = 8 << 10
	// freeBytes is the size of the buffer that a reader may have without asking for room.
	freeBytes = 64 << 10
)

// Reader splits a stream into events. Use NewReader to create one.
type Reader struct {
	source io.Reader
	// maxBytes bounds one event.
	maxBytes int
	// buffer holds the bytes that have been read, from the beginning of the next event on. In
	// the first `searched` of them, no event ends.
	buffer   []byte
	searched int
	// storage is the memory that buffer is part of.
	storage []byte
	// reserve asks for room for a number of bytes beyond freeBytes, and reserved is how many it
	// was asked for; nil if there is always room.
	reserve  func(bytes int) bool
	reserved int
	// returned is the length of the event that Next returned last; the next call drops it.
	returned int
	fields   []Field
	// readError is the error of the source, returned once the buffer holds no complete event.
	readError error
}

// TooLongError reports an event that is longer than the reader accepts.
type TooLongError struct {
	MaxBytes int
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("an event has more than %d bytes", e.MaxBytes)
}

// NewReader returns a reader of the events of a stream, each of at most maxBytes bytes.
func NewReader(source io.Reader, maxBytes int) *Reader {
	return &Reader{source: source, maxBytes: maxBytes}
}

// LimitMemory has the reader ask reserve for room before its buffer grows. An event for which there is
// no room ends the stream with a *TooLongError.
func (r *Reader) LimitMemory(reserve func(bytes int) bool) { r.reserve = reserve }

// Next returns the next event. The texts of all events are the stream: a blank line that no event
// precedes is an event without fields, and so are comments. The event is valid until the next call.
//
// At the end of the source the error is a bare io.EOF, or io.ErrUnexpectedEOF if the source ended
// within an event. Other errors are *FormatError, *TooLongError and those of the source. After an
// error, the stream cannot be read any further.
func (r *Reader) Next() (Event, error) {
	for {
		event, found, err := r.NextBuffered()
		if found || err != nil {
			return event, err
		}
		if r.readError != nil {
			return Event{}, r.endError()
		}
		if len(r.buffer) > r.maxBytes {
			return Event{}, &TooLongError{MaxBytes: r.maxBytes}
		}
		r.readError = r.fill()
	}
}

// NextBuffered is Next without reading from the source: it returns false if no event has been read
// completely.
func (r *Reader) NextBuffered() (Event, bool, error) {
	r.buffer = r.buffer[r.returned:]
	r.returned = 0
	end := r.endOfEvent()
	if end == 0 {
		return Event{}, false, nil
	}
	event, err := parse(r.buffer[:end], r.fields[:0])
	if err != nil {
		return Event{}, false, err
	}
	r.fields = event.Fields[:0]
	r.returned, r.searched = end, 0
	return event, true, nil
}

// AtEnd reads on, and reports whether the source ends, with or without an error, before any further byte.
func (r *Reader) AtEnd() bool {
	r.buffer = r.buffer[r.returned:]
	r.returned = 0
	for len(r.buffer) == 0 && r.readError == nil {
		r.readError = r.fill()
	}
	return len(r.buffer) == 0
}

// endOfEvent returns the position after the first blank line, or 0 if the buffer holds none.
func (r *Reader) endOfEvent() int {
	if r.searched == 0 {
		switch {
		case bytes.HasPrefix(r.buffer, []byte("\n")):
			return len("\n")
		case bytes.HasPrefix(r.buffer, []byte("\r\n")):
			return len("\r\n")
		case bytes.Equal(r.buffer, []byte("\r")):
			return 0
		}
	}
	for {
		at := bytes.IndexByte(r.buffer[r.searched:], '\n')
		if at < 0 {
			r.searched = len(r.buffer)
			return 0
		}
		lineEnd := r.searched + at
		rest := r.buffer[lineEnd+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return lineEnd + len("\n\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return lineEnd + len("\n\r\n")
		case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
			// The next line may turn out to be blank.
			r.searched = lineEnd
			return 0
		}
		r.searched = lineEnd + 1
	}
}

// fill reads from the source once.
func (r *Reader) fill() error {
	if len(r.buffer) == 0 {
		r.buffer = r.storage[:0]
	}
	if cap(r.buffer)-len(r.buffer) < bufferBytes/2 {
		size := 2*len(r.buffer) + bufferBytes
		if !r.hasRoom(size) {
			return &TooLongError{MaxBytes: len(r.buffer)}
		}
		r.storage = make([]byte, size)
		r.buffer = r.storage[:copy(r.storage, r.buffer)]
	}
	count, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+count]
	return err
}

// hasRoom reports whether the buffer may have a size.
func (r *Reader) hasRoom(size int) bool {
	missing := size - max(freeBytes, r.reserved)
	if r.reserve == nil || missing <= 0 {
		return true
	}
	if !r.reserve(missing) {
		return false
	}
	r.reserved = size
	return true
}

// endError returns the error with which the stream ends after the last complete event.
func (r *Reader) endError() error {
	if !errors.Is(r.readError, io.EOF) {
		return r.readError
	}
	if len(r.buffer) > 0 {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}
