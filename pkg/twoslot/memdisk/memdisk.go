// Package memdisk implements a twoslot.Disk in memory with injected faults: a crash at any
// byte that is written, a full disk, flipped bits, slow writes, and lost files. Simulators
// and tests use it. A Disk owns its files and is safe for concurrent use.
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

// Stats counts the operations of a disk.
type Stats struct {
	// Writes counts the calls that changed a file or crashed, and Reads those of ReadFile.
	Writes, Reads int
	// Positions counts the points at which a crash could have occurred: one before each
	// write, and one after each byte of it. A truncation is a write without bytes.
	Positions int
	// SlowWrites counts the calls of WriteFile and Append that were made while a delay was
	// set, and Delay is the sum of their delays. The disk itself never waits.
	SlowWrites int
	Delay      time.Duration
	// Refused counts the writes that failed because the disk was full.
	Refused int
	// PeakBytes is the largest total size of all files during a write, including the
	// previous content of a file that was being replaced.
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

// WriteFile replaces a file. The previous content occupies space until the new content is
// complete, as in a data folder, where a complete new file is renamed into place.
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

// Truncate shortens a file. A crash during the call leaves the shorter file, or, with
// TearLost, the previous one.
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

// write sets the content of the file to prefix followed by data. The bytes of a file are
// never changed in place, since clones of the disk share them.
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

// used returns the total size of all files in bytes.
func (d *Disk) used() int {
	total := 0
	for data := range maps.Values(d.files) {
		total += len(data)
	}
	return total
}

// Used returns the total size of all files in bytes.
func (d *Disk) Used() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.used()
}

// Stats returns the counts since the disk was created.
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
