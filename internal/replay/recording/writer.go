package recording

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Writer writes a recording line by line. It isn't safe for concurrent use.
type Writer struct {
	encoder *json.Encoder
}

// NewWriter writes the header and returns the writer of what follows.
func NewWriter(target io.Writer, header Header) (*Writer, error) {
	writer := &Writer{encoder: json.NewEncoder(target)}
	if err := writer.encoder.Encode(header); err != nil {
		return nil, errors.Wrap(err, "write the recording's header")
	}
	return writer, nil
}

// Write adds a record.
func (w *Writer) Write(record Record) error {
	return errors.Wrap(w.encoder.Encode(record), "write a record")
}

// Drop records that requests are missing.
func (w *Writer) Drop(count int64) error {
	return errors.Wrap(w.encoder.Encode(Dropped{Dropped: count}), "note dropped records")
}
