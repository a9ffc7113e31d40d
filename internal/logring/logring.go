// Package logring keeps the newest log entries in a ring buffer in memory. It writes them
// out on an entry of level Error or above, on an entry that Incident marks (at most once in
// IncidentEvery for each kind), and when Dump is called, as a node does on SIGUSR1. At other
// times entries are not written anywhere. A Ring may be used concurrently.
package logring

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
)

// Ring is a logrus hook that stores formatted entries in a ring buffer.
type Ring struct {
	mutex     sync.Mutex
	formatter logrus.Formatter
	// entries contains the formatted entries. The next entry is stored at index next; once
	// the ring is full, it replaces the oldest entry there.
	entries [][]byte
	next    int
	full    bool
	output  io.Writer
	// incidents contains, for each kind, the time of the last incident that caused a dump.
	incidents map[IncidentKind]time.Time
}

// New returns a ring with room for size entries, at least one, that is written out to output.
func New(size int, output io.Writer) *Ring {
	return &Ring{
		formatter: &logrus.JSONFormatter{},
		entries:   make([][]byte, max(1, size)),
		output:    output,
		incidents: make(map[IncidentKind]time.Time),
	}
}

// Logger returns a logger whose entries go to the ring and nowhere else.
func (r *Ring) Logger(level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(level)
	logger.AddHook(r)
	return logger
}

// Levels implements logrus.Hook.
func (r *Ring) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (r *Ring) Fire(entry *logrus.Entry) error {
	formatted, err := r.formatter.Format(entry)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.add(formatted)
	if r.triggersDump(entry) {
		return r.dump()
	}
	return nil
}

// Dump writes the stored entries to the output, oldest first, and empties the ring, so that
// no entry is written twice. If a write fails, the ring is not emptied.
func (r *Ring) Dump() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dump()
}

// add stores an entry; in a full ring it replaces the oldest one. The caller holds the mutex.
func (r *Ring) add(formatted []byte) {
	r.entries[r.next] = formatted
	r.next = (r.next + 1) % len(r.entries)
	r.full = r.full || r.next == 0
}

// dump implements Dump. The caller holds the mutex.
func (r *Ring) dump() error {
	ordered := r.entries[:r.next]
	if r.full {
		ordered = append(append([][]byte{}, r.entries[r.next:]...), r.entries[:r.next]...)
	}
	for _, formatted := range ordered {
		if _, err := r.output.Write(formatted); err != nil {
			return err
		}
	}
	clear(r.entries)
	r.next = 0
	r.full = false
	return nil
}

// UseForFramework directs the log of the HTTP framework (go-zero) to a logger, and turns off
// the framework's statistics.
func UseForFramework(logger *logrus.Logger) {
	logx.DisableStat()
	logx.SetWriter(frameworkWriter{entry: logger.WithField("component", "http")})
}

// frameworkWriter implements logx.Writer with logrus. The framework's Error entries are
// logged as warnings, so that they do not cause a dump of the ring; its Alert, Severe and
// Stack entries do.
type frameworkWriter struct {
	entry *logrus.Entry
}

func (w frameworkWriter) Alert(v any)                     { w.entry.Error(v) }
func (w frameworkWriter) Close() error                    { return nil }
func (w frameworkWriter) Debug(v any, _ ...logx.LogField) { w.entry.Debug(v) }
func (w frameworkWriter) Error(v any, _ ...logx.LogField) { w.entry.Warn(v) }
func (w frameworkWriter) Info(v any, _ ...logx.LogField)  { w.entry.Debug(v) }
func (w frameworkWriter) Severe(v any)                    { w.entry.Error(v) }
func (w frameworkWriter) Slow(v any, _ ...logx.LogField)  { w.entry.Debug(v) }
func (w frameworkWriter) Stack(v any)                     { w.entry.Error(v) }
func (w frameworkWriter) Stat(v any, _ ...logx.LogField)  { w.entry.Trace(v) }
