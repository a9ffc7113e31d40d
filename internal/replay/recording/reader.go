package recording

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// MaxLineBytes bounds a line. A record with the most chunks that a caller may
// send fits.
const MaxLineBytes = 2 << 20

// Day is what was read of a recording.
type Day struct {
	// Started is the earliest header's time, from which AtUS of all Records
	// counts, also of those under later headers.
	Started time.Time
	// Records are in the order of their arrival.
	Records []Record
	// Dropped counts the requests that nodes could not record.
	Dropped int64
	Faults  Faults
}

// Load reads a file, which may be compressed with gzip. Lines that cannot be
// used are counted in the day. A file without any usable request gives an
// *EmptyError.
func Load(path string) (*Day, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the recording")
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// Read reads a recording as Load does.
func Read(source io.Reader) (*Day, error) {
	buffered := bufio.NewReader(source)
	if magic, err := buffered.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		unpacked, err := gzip.NewReader(buffered)
		if err != nil {
			return nil, errors.Wrap(err, "unpack the recording")
		}
		buffered = bufio.NewReader(unpacked)
	}
	reader := &reader{source: buffered}
	if err := reader.readAll(); err != nil {
		return nil, err
	}
	return reader.day()
}

// arrival is a record with the time of its arrival.
type arrival struct {
	at     time.Time
	record Record
}

// reader reads lines one after the other.
type reader struct {
	source *bufio.Reader
	// line is the number of the last line that was read, from 1.
	line int
	// header is the one that the records belong to; nil before the first and
	// after one of an unknown version.
	header *Header
	// skipping is set below a header of an unknown version.
	skipping bool
	// started is the earliest time of a header.
	started  time.Time
	arrivals []arrival
	// dropped sums the requests that nodes could not record.
	dropped int64
	faults  Faults
}

func (r *reader) readAll() error {
	for {
		text, err := r.readLine()
		if text = bytes.TrimSpace(text); len(text) > 0 {
			r.parseLine(text)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, gzip.ErrChecksum), errors.Is(err, gzip.ErrHeader):
			r.faults.add(r.line+1, FaultTorn, "the compressed file is cut or damaged here")
			return nil
		default:
			return errors.Wrapf(err, "read the recording after line %d", r.line)
		}
	}
}

// readLine returns the next line without its end. A line that is too long is
// counted, skipped and returned as an empty one.
func (r *reader) readLine() ([]byte, error) {
	var text []byte
	tooLong := false
	for {
		fragment, err := r.source.ReadSlice('\n')
		if len(text)+len(fragment) > MaxLineBytes {
			tooLong = true
			text = nil
		}
		if !tooLong {
			text = append(text, fragment...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == nil || len(text) > 0 || tooLong {
			r.line++
		}
		if tooLong {
			r.faults.add(r.line, FaultTooLong, fmt.Sprintf("the line has more than %d bytes", MaxLineBytes))
			return nil, err
		}
		return text, err
	}
}

// recordKind has the fields by which the kinds of lines differ.
type recordKind struct {
	Format  *string `json:"format"`
	Dropped *int64  `json:"dropped"`
}

// parseLine reads one line by its kind. What can't be used is counted among the faults.
func (r *reader) parseLine(text []byte) {
	var kind recordKind
	if err := json.Unmarshal(text, &kind); err != nil {
		r.fault(syntaxFault(text), err)
		return
	}
	switch {
	case kind.Format != nil:
		r.parseHeader(text)
	case r.skipping:
		r.fault(FaultVersion, errors.New("the line follows a header of an unknown version"))
	case r.header == nil:
		r.fault(FaultInvalid, errors.New("the line comes before any header"))
	case kind.Dropped != nil:
		r.parseDropped(text)
	default:
		r.parseRecord(text)
	}
}

// syntaxFault returns FaultTorn for a line that ends before its JSON does, and
// FaultInvalid for any other.
func syntaxFault(text []byte) FaultKind {
	var value json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&value); errors.Is(err, io.ErrUnexpectedEOF) {
		return FaultTorn
	}
	return FaultInvalid
}

// fault counts the present line among the faults.
func (r *reader) fault(kind FaultKind, err error) {
	r.faults.add(r.line, kind, err.Error())
}

func (r *reader) parseHeader(text []byte) {
	r.header = nil
	r.skipping = true
	// The version comes first: a later one may have other fields.
	var announced struct {
		Format  string `json:"format"`
		Version int    `json:"version"`
	}
	if err := json.Unmarshal(text, &announced); err != nil {
		r.fault(FaultInvalid, err)
		return
	}
	if announced.Format != Format || announced.Version != Version {
		r.fault(FaultVersion, errors.Errorf("the header names %q version %d; only %q version %d is known",
			announced.Format, announced.Version, Format, Version))
		return
	}
	var header Header
	if err := decodeStrictly(text, &header); err != nil {
		r.fault(FaultInvalid, err)
		return
	}
	if header.Started.IsZero() {
		r.fault(FaultInvalid, errors.New("the header has no start"))
		return
	}
	r.header = &header
	r.skipping = false
	if r.started.IsZero() || header.Started.Before(r.started) {
		r.started = header.Started
	}
}

func (r *reader) parseDropped(text []byte) {
	var dropped Dropped
	if err := decodeStrictly(text, &dropped); err != nil {
		r.fault(FaultInvalid, err)
		return
	}
	if dropped.Dropped <= 0 {
		r.fault(FaultInvalid, errors.New("dropped must be positive"))
		return
	}
	r.dropped += dropped.Dropped
}

func (r *reader) parseRecord(text []byte) {
	var record Record
	if err := decodeStrictly(text, &record); err != nil {
		r.fault(FaultInvalid, err)
		return
	}
	if err := record.check(); err != nil {
		r.fault(FaultInvalid, err)
		return
	}
	at := r.header.Started.Add(time.Duration(record.AtUS) * time.Microsecond)
	r.arrivals = append(r.arrivals, arrival{at: at, record: record})
}

// decodeStrictly decodes a line and refuses fields that the version does not have.
func decodeStrictly(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// day puts the records of all headers in the order of their arrival.
func (r *reader) day() (*Day, error) {
	if len(r.arrivals) == 0 {
		return nil, &EmptyError{Lines: r.line, Faults: r.faults}
	}
	slices.SortStableFunc(r.arrivals, func(a, b arrival) int { return cmp.Compare(a.at.UnixMicro(), b.at.UnixMicro()) })
	day := &Day{Started: r.started, Dropped: r.dropped, Faults: r.faults}
	for _, arrived := range r.arrivals {
		arrived.record.AtUS = arrived.at.Sub(r.started).Microseconds()
		day.Records = append(day.Records, arrived.record)
	}
	return day, nil
}
