// Package memdisk is a twoslot.Disk in memory that fails on request: it crashes at any
// byte of what is written to it, becomes full, flips bits, becomes slow, or loses
// everything. Simulators and tests use it. A Disk owns its files and is safe for
// concurrent use.
package memdisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// ErrCrashed is returned by every call to a disk between its crash and Restart.
var ErrCrashed = errors.New("memdisk: disk has crashed; call Restart")

var _ twoslot.Disk = (*Disk)(nil)

// Disk is a disk in memory. It is safe for concurrent use.
type Disk struct {
	mutex    sync.Mutex
	files    map[string][]byte
	crash    *Crash
	crashed  bool
	full     bool
	capacity int
	delay    time.Duration
	stats    Stats
}

// Stats counts what a disk did.
type Stats struct {
	// Writes counts the calls that write, and Reads those that read.
	Writes, Reads int
	// Positions counts the points at which a crash could have come: one before each
	// write, and one after each byte of it.
	Positions int
	// SlowWrites counts the writes while a delay was set, and Delay sums the time that
	// they would have taken. The disk itself never waits.
	SlowWrites int
	Delay      time.Duration
	// Refused counts the writes that did not fit.
	Refused int
	// PeakBytes is the most that the files took, with the file that was being replaced.
	PeakBytes int
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{files: map[string][]byte{}}
}

// ReadFile returns a copy of a file.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	d.stats.Reads++
	data, ok := d.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(data), nil
}

// WriteFile replaces a file. The former one takes its space until the new one is complete,
// as in a data folder, where it is renamed into place.
func (d *Disk) WriteFile(name string, data []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.write(name, nil, data)
}

// Append appends to a file.
func (d *Disk) Append(name string, data []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.write(name, d.files[name], data)
}

// Truncate shortens a file. A crash at its only position leaves the shorter file, or, with
// TearLost, the former one.
func (d *Disk) Truncate(name string, size int) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.crashed {
		return ErrCrashed
	}
	data, ok := d.files[name]
	if !ok || size > len(data) {
		return &fs.PathError{Op: "truncate", Path: name, Err: fs.ErrInvalid}
	}
	if d.full {
		d.stats.Refused++
		return &twoslot.Error{Kind: twoslot.KindDiskFull, Name: name}
	}
	d.stats.Writes++
	shortened := slices.Clone(data[:size])
	if _, ok := d.crashWithin(0); ok {
		d.crashed = true
		if d.crash.Tear != TearLost {
			d.files[name] = shortened
		}
		return ErrCrashed
	}
	d.stats.Positions++
	d.files[name] = shortened
	return nil
}

// write leaves prefix followed by data in the file. The bytes of a file are never
// changed in place, only appended to.
func (d *Disk) write(name string, prefix, data []byte) error {
	if d.crashed {
		return ErrCrashed
	}
	needed := d.used() + len(data)
	if d.full || (d.capacity > 0 && needed > d.capacity) {
		d.stats.Refused++
		return &twoslot.Error{Kind: twoslot.KindDiskFull, Name: name}
	}
	d.stats.Writes++
	d.stats.PeakBytes = max(d.stats.PeakBytes, needed)
	if d.delay > 0 {
		d.stats.SlowWrites++
		d.stats.Delay += d.delay
	}
	if written, ok := d.crashWithin(len(data)); ok {
		d.crashed = true
		d.leaveTorn(name, prefix, data, written)
		return ErrCrashed
	}
	d.stats.Positions += 1 + len(data)
	d.files[name] = append(prefix, data...)
	return nil
}

// used returns the bytes of all files.
func (d *Disk) used() int {
	total := 0
	for data := range maps.Values(d.files) {
		total += len(data)
	}
	return total
}

// Used returns the bytes of all files.
func (d *Disk) Used() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.used()
}

// Stats returns the counts so far.
func (d *Disk) Stats() Stats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stats
}

// Names returns the names of all files in order.
func (d *Disk) Names() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Sorted(maps.Keys(d.files))
}
