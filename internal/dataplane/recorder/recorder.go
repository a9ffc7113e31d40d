// Package recorder appends a record of each request that has ended to a file, from
// which the traffic of a day can be replayed.
//
// A Recorder owns its file and one goroutine that writes to it. Record may be
// called concurrently and never blocks: a record that finds the queue full is
// dropped and counted, so that a slow disk never delays a request.
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
	// queueLength bounds the records that wait for the disk.
	queueLength = 4096
	// flushInterval bounds how long a record stays in memory.
	flushInterval = time.Second
	// fileMode keeps recordings from other users of the machine.
	fileMode = 0o600
)

// Stats counts what became of the records of a node.
type Stats struct {
	// Written counts the records handed to the file's buffer, which is flushed
	// every second.
	Written uint64
	// Dropped counts the records that were given up because the disk was too
	// slow, and Failed those after a failure of the disk.
	Dropped uint64
	Failed  uint64
}

// Options configure a Recorder.
type Options struct {
	// Path names the file. Records are appended to what it holds already.
	Path string
	// Node is the name of the recording node, for the header.
	Node string
	// Log gets the first failure of the disk.
	Log *logrus.Entry
}

// Recorder writes records to a file in a goroutine that Close ends.
type Recorder struct {
	log *logrus.Entry
	// target is the file. The writer encodes records into the buffer, which is flushed to it.
	target io.WriteCloser
	buffer *bufio.Writer
	writer *recording.Writer
	queue  chan recording.Record
	// flush gets the times at which the buffer is flushed; ticker is what sends them, nil in
	// tests.
	flush  <-chan time.Time
	ticker *time.Ticker

	// stop tells the goroutine to end, and done is closed when it has.
	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}

	written atomic.Uint64
	dropped atomic.Uint64
	failed  atomic.Uint64
	// dropsWritten is how many drops the recording reports.
	dropsWritten uint64
	// failureLogged reports whether a failure of the disk was logged.
	failureLogged bool
}

// New opens the file, writes the header of a recording and starts the goroutine
// that writes records. The caller must Close the Recorder.
func New(options Options) (*Recorder, error) {
	file, err := os.OpenFile(options.Path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the recording: name a file that the node may write, or leave record_file out")
	}
	// An earlier recording may have ended within a line.
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

// newRecorder writes the header. What is recorded waits until run is called.
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

// Close writes the queued records and closes the file. Records that come later are
// not written. It may be called more than once.
func (r *Recorder) Close() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

// Stats returns the counters. It may be called concurrently.
func (r *Recorder) Stats() Stats {
	return Stats{Written: r.written.Load(), Dropped: r.dropped.Load(), Failed: r.failed.Load()}
}

// run writes records until Close.
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
		r.log.WithError(err).Warn("the recording could not be closed")
	}
}

// write writes a record to the buffer, after the number of records dropped before it.
func (r *Recorder) write(record recording.Record) {
	r.writeDropCount()
	if err := r.writer.Write(record); err != nil {
		r.failed.Add(1)
		r.report(err)
		return
	}
	r.written.Add(1)
}

// writeDropCount writes how many records were dropped since the last call, so that
// whoever replays the recording knows that it is incomplete.
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

// flushNow writes the buffer to the file.
func (r *Recorder) flushNow() {
	r.writeDropCount()
	if err := r.buffer.Flush(); err != nil {
		r.report(err)
	}
}

// report logs the first failure of the disk. A buffer that has failed stays
// failed, so that every later record counts as failed.
func (r *Recorder) report(err error) {
	if !r.failureLogged {
		r.failureLogged = true
		r.log.WithError(err).Error("the recording cannot be written and stops here: free the disk and restart the node")
	}
}
