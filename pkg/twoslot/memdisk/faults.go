package memdisk

import (
	"slices"
	"time"
)

// Tear specifies what remains of the write that a crash interrupts.
type Tear uint8

// The ways in which a write is torn.
const (
	// TearShort leaves the bytes up to the crash, and the file ends there.
	TearShort Tear = iota + 1
	// TearZeroed leaves the bytes up to the crash, and zeros for the rest, as when a file is
	// extended before its bytes are written.
	TearZeroed
	// TearLost leaves the file as it was before the write, as when unsynced data is lost.
	TearLost
)

// Tears lists all ways in which a write is torn.
func Tears() []Tear {
	return []Tear{TearShort, TearZeroed, TearLost}
}

// Crash is a planned crash.
type Crash struct {
	// Position is the value of Stats.Positions at which the crash occurs.
	Position int
	Tear     Tear
}

// CrashAt plans a crash. The write that reaches its position, and every call after
// that, returns ErrCrashed until Restart.
func (d *Disk) CrashAt(crash Crash) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crash = &crash
}

// Restart makes a crashed disk usable again, and cancels a planned crash that has not
// occurred yet. Files are as the crash left them.
func (d *Disk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crash = nil
	d.crashed = false
}

// SetFull sets whether every write fails with an error that matches twoslot.ErrDiskFull.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// Full reports whether SetFull makes every write fail.
func (d *Disk) Full() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.full
}

// SetCapacity limits the total size of all files in bytes; 0 means no limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// SetDelay sets the time that each call of WriteFile or Append adds to Stats.Delay. The disk
// does not wait; a caller with virtual time can advance it by the growth of Stats.Delay.
func (d *Disk) SetDelay(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.delay = delay
}

// FlipBit inverts one bit of a file, counted from the lowest bit of its first byte. It
// returns false if the file has no such bit.
func (d *Disk) FlipBit(name string, bit int) bool {
	const bitsPerByte = 8
	d.mutex.Lock()
	defer d.mutex.Unlock()
	position := bit / bitsPerByte
	if bit < 0 || position >= len(d.files[name]) {
		return false
	}
	damaged := slices.Clone(d.files[name])
	damaged[position] ^= 1 << (bit % bitsPerByte)
	d.files[name] = damaged
	return true
}

// LoseFile removes one file.
func (d *Disk) LoseFile(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.files, name)
}

// Lose removes all files, as if the disk had been replaced by an empty one.
func (d *Disk) Lose() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.files)
}

// Clone returns a disk with the same files and no faults.
func (d *Disk) Clone() *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clone := New()
	for name, data := range d.files {
		// The disks share the data; clipping it makes an append of either one copy it first.
		d.files[name] = slices.Clip(data)
		clone.files[name] = d.files[name]
	}
	return clone
}

// crashWithin reports whether the planned crash occurs within a write of length bytes, and
// how many of them are written before it.
func (d *Disk) crashWithin(length int) (written int, ok bool) {
	if d.crash == nil || d.crash.Position > d.stats.Positions+length {
		return 0, false
	}
	return max(0, d.crash.Position-d.stats.Positions), true
}

// leaveTorn sets the content of a file to what remains of an interrupted write.
func (d *Disk) leaveTorn(name string, prefix, data []byte, written int) {
	switch d.crash.Tear {
	case TearShort:
		d.files[name] = slices.Concat(prefix, data[:written])
	case TearZeroed:
		d.files[name] = slices.Concat(prefix, data[:written], make([]byte, len(data)-written))
	}
}
