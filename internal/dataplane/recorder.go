package dataplane

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
	// recordQueue bounds the records that wait for the disk.
	recordQueue = 4096
	// recordFlushEvery bounds how long a record stays in memory.
	recordFlushEvery = time.Second
	// recordFileMode keeps recordings from other users of the machine.
	recordFileMode = 0o600
)

// recorder takes a record of each request that has ended. It never blocks.
type recorder interface {
	record(recording.Record)
	// close writes out what waits.
	close()
}

// RecordStats count what became of the records of a node.
type RecordStats struct {
	// Written counts the records handed to the file's buffer, which is flushed
	// every second.
	Written uint64
	// Dropped counts the records that were given up because the disk was too
	// slow, and Failed those after a failure of the disk.
	Dropped uint64
	Failed  uint64
}

// fileRecorder writes records to a file in a goroutine of its own. A record
// that finds the queue full is dropped and counted.
type fileRecorder struct {
	log    *logrus.Entry
	target io.WriteCloser
	buffer *bufio.Writer
	writer *recording.Writer
	queue  chan recording.Record
	flush  <-chan time.Time
	ticker *time.Ticker

	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}

	written atomic.Uint64
	dropped atomic.Uint64
	failed  atomic.Uint64
	// dropsWritten is how many drops the recording tells of.
	dropsWritten uint64
	// failureLogged tells that a failure of the disk was logged.
	failureLogged bool
}

// openRecorder starts to append a recording to a file.
func openRecorder(options Options) (*fileRecorder, error) {
	file, err := os.OpenFile(options.RecordFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, recordFileMode)
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
	ticker := time.NewTicker(recordFlushEvery)
	r, err := newFileRecorder(file, recording.NewHeader(options.Node, time.Now()), recordQueue, ticker.C, options.Log)
	if err != nil {
		ticker.Stop()
		_ = file.Close()
		return nil, err
	}
	r.ticker = ticker
	go r.run()
	return r, nil
}

// newFileRecorder writes the header. What is recorded waits until run is called.
func newFileRecorder(target io.WriteCloser, header recording.Header, queue int, flush <-chan time.Time, log *logrus.Entry) (*fileRecorder, error) {
	buffer := bufio.NewWriter(target)
	writer, err := recording.NewWriter(buffer, header)
	if err != nil {
		return nil, err
	}
	if err := buffer.Flush(); err != nil {
		return nil, errors.Wrap(err, "write the recording's header")
	}
	return &fileRecorder{
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

// record implements recorder.
func (r *fileRecorder) record(record recording.Record) {
	select {
	case r.queue <- record:
	default:
		r.dropped.Add(1)
	}
}

// close implements recorder. Records that come later are not written.
func (r *fileRecorder) close() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

// stats returns the counters.
func (r *fileRecorder) stats() RecordStats {
	return RecordStats{Written: r.written.Load(), Dropped: r.dropped.Load(), Failed: r.failed.Load()}
}

// run writes records until close.
func (r *fileRecorder) run() {
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

// finish writes what waits and closes the file.
func (r *fileRecorder) finish() {
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

func (r *fileRecorder) write(record recording.Record) {
	r.writeDropCount()
	if err := r.writer.Write(record); err != nil {
		r.failed.Add(1)
		r.report(err)
		return
	}
	r.written.Add(1)
}

// writeDropCount writes how many records were dropped since the last note, so that
// whoever replays the recording knows that it is not whole.
func (r *fileRecorder) writeDropCount() {
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

func (r *fileRecorder) flushNow() {
	r.writeDropCount()
	if err := r.buffer.Flush(); err != nil {
		r.report(err)
	}
}

// report logs the first failure of the disk. A buffer that has failed stays
// failed, so that every later record counts as failed.
func (r *fileRecorder) report(err error) {
	if !r.failureLogged {
		r.failureLogged = true
		r.log.WithError(err).Error("the recording cannot be written and stops here: free the disk and restart the node")
	}
}
