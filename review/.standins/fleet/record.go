package fleet

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord makes the file anew.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, started: time.Now()}, err
}

// Since is the time since the start of the record, in seconds.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// Printf writes a line, with its time in seconds.
func (r *Record) Printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}
