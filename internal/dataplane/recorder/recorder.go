// Package recorder appends a record of each request that has ended to a file, from which the
// traffic can be replayed.
//
// A Recorder owns its file and one goroutine that writes to it. Record may be called
// concurrently and never blocks: if the queue is full, it drops and counts the record, so that
// a slow disk never delays a request.
package recorder

import (
	"bufio"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

const (
	// queueLength is the maximum number of records that wait to be written.
	queueLength = 4096
	// flushInterval is the interval at which buffered records are written to the file. It
	// limits how long a record is only in memory.
	flushInterval = time.Second
	// fileMode denies other users of the machine access to recordings.
	fileMode = 0o600
)

// Stats counts the records of a node by their result.
type Stats struct {
	// Written counts the records that were written to the file's buffer, which is flushed
	// every second.
	Written uint64
	// Dropped counts the records that were dropped because the queue was full, as with a
	// disk that is too slow. Failed counts the records that could not be written, as after
	// a disk error.
	Dropped uint64
	Failed  uint64
}

// Options configure a Recorder.
type Options struct {
	// Path is the path of the file. Records are appended to its contents.
	Path string
	// Node is the name of the recording node, for the recording's header.
	Node string
	// Log receives the first write error, and an error of closing the file.
	Log *logrus.Entry
}

// Recorder writes records to a file, in a goroutine that Close stops.
type Recorder struct {
	log *logrus.Entry
	// target is the file. writer encodes records into buffer, which is flushed to the file.
	target io.WriteCloser
	buffer *bufio.Writer
	writer *recording.Writer
	queue  chan recording.Record
	// flush receives a value whenever the buffer is to be flushed. ticker sends these
	// values; it is nil in tests.
	flush  <-chan time.Time
	ticker *time.Ticker

	// stop is closed to stop the goroutine, and done is closed when the goroutine has ended.
	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}

	written atomic.Uint64
	dropped atomic.Uint64
	failed  atomic.Uint64
	// dropsWritten is the number of dropped records that the recording states.
	dropsWritten uint64
	// failureLogged is set when a write error has been logged.
	failureLogged bool
}

// New opens the file, writes the header of a recording and starts the goroutine that writes
// records. The caller must call Close on the Recorder.
func New(options Options) (*Recorder, error) {
	file, err := os.OpenFile(options.Path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the recording: name a file that the node may write, or leave record_file out")
	}
	// The last line of an earlier recording may be incomplete, so the header must start on
	// a new line.
	if status, statErr := file.Stat(); statErr == nil && status.Size() > 0 {
		if _, err := file.WriteString("\n"); err != nil {
			_ = file.Close()
			return nil, errors.Wrap(err, "append to the recording")
		}
	}
	ticker := time.NewTicker(flushInterval)
	r, err := newRecorder(file, recording.NewHeader(options.Node, time.Now()), queueLength, ticker.C, options.Log)
	if err != nil {
		ticker.Stop()
		_ = file.Close()
		return nil, err
	}
	r.ticker = ticker
	go r.run()
	return r, nil
}

// newRecorder returns a Recorder after writing the header to target. Records stay in the queue
// until run is called.
func newRecorder(target io.WriteCloser, header recording.Header, queue int, flush <-chan time.Time, log *logrus.Entry) (*Recorder, error) {
	buffer := bufio.NewWriter(target)
	writer, err := recording.NewWriter(buffer, header)
	if err != nil {
		return nil, err
	}
	if err := buffer.Flush(); err != nil {
		return nil, errors.Wrap(err, "write the recording's header")
	}
	return &Recorder{
		log:    log,
		target: target,
		buffer: buffer,
		writer: writer,
		queue:  make(chan recording.Record, queue),
		flush:  flush,
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}, nil
}

// Record queues the record of a request that has ended. It never blocks, and may be
// called concurrently.
func (r *Recorder) Record(record recording.Record) {
	select {
	case r.queue <- record:
	default:
		r.dropped.Add(1)
	}
}

// Close writes the queued records and closes the file. Records that are queued later are not
// written. Close may be called more than once.
func (r *Recorder) Close() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

// Stats returns the counters. It may be called concurrently.
func (r *Recorder) Stats() Stats {
	return Stats{Written: r.written.Load(), Dropped: r.dropped.Load(), Failed: r.failed.Load()}
}

// run writes records until Close is called.
func (r *Recorder) run() {
	defer close(r.done)
	for {
		select {
		case record := <-r.queue:
			r.write(record)
		case <-r.flush:
			r.flushNow()
		case <-r.stop:
			r.finish()
			return
		}
	}
}

// finish writes the records that are still queued, and closes the file.
func (r *Recorder) finish() {
	if r.ticker != nil {
		r.ticker.Stop()
	}
	for len(r.queue) > 0 {
		r.write(<-r.queue)
	}
	r.flushNow()
	if err := r.target.Close(); err != nil {
		r.log.WithError(err).Warn("cannot close the recording file")
	}
}

// write writes a record to the buffer. It first writes the number of records that were dropped
// since the last time, if any.
func (r *Recorder) write(record recording.Record) {
	r.writeDropCount()
	if err := r.writer.Write(record); err != nil {
		r.failed.Add(1)
		r.report(err)
		return
	}
	r.written.Add(1)
}

// writeDropCount writes the number of records that were dropped since it was last written, so
// that a replay of the recording can report that it is incomplete.
func (r *Recorder) writeDropCount() {
	dropped := r.dropped.Load()
	if dropped == r.dropsWritten {
		return
	}
	if err := r.writer.Drop(int64(dropped - r.dropsWritten)); err != nil {
		r.report(err)
		return
	}
	r.dropsWritten = dropped
}

// flushNow writes the number of dropped records to the buffer, and flushes the buffer to the
// file.
func (r *Recorder) flushNow() {
	r.writeDropCount()
	if err := r.buffer.Flush(); err != nil {
		r.report(err)
	}
}

// report logs the first write error. After a write error the buffer returns this error for
// all further writes, so every later record counts as failed.
func (r *Recorder) report(err error) {
	if !r.failureLogged {
		r.failureLogged = true
		r.log.WithError(err).Error("the recording cannot be written and stops here: free the disk and restart the node")
	}
}
