package memdisk

import (
	"slices"
	"time"
)

// Tear tells what remains of the write that a crash interrupts.
type Tear uint8

// The ways in which a write is torn.
const (
	// TearShort leaves the bytes up to the crash, and the file ends there.
	TearShort Tear = iota + 1
	// TearZeroed leaves the bytes up to the crash, and zeros for the rest:
	// the file was extended before its bytes were written.
	TearZeroed
	// TearLost leaves nothing: what was not synced is gone, and the file is as it was
	// before the write.
	TearLost
)

// Tears lists all ways in which a write is torn.
func Tears() []Tear {
	return []Tear{TearShort, TearZeroed, TearLost}
}

// Crash is a planned crash.
type Crash struct {
	// Position is the point of the crash, counted as Stats.Positions is.
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

// Restart ends a crash, and cancels one that has not come yet. Files are as the crash
// left them.
func (d *Disk) Restart() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.crash = nil
	d.crashed = false
}

// SetFull makes every write return that the disk is full, or ends that.
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

// SetCapacity bounds the bytes of all files; 0 means no bound.
func (d *Disk) SetCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// SetDelay makes each write count as slow. The driver of virtual time adds the growth
// of Stats.Delay to it.
func (d *Disk) SetDelay(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.delay = delay
}

// FlipBit inverts one bit of a file, counted from the lowest bit of its first byte. It
// is false if the file has no such bit.
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

// Lose empties the disk, as when it was replaced.
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
		// Neither disk may append into the memory of the other.
		d.files[name] = slices.Clip(data)
		clone.files[name] = d.files[name]
	}
	return clone
}

// crashWithin tells whether the planned crash comes within a write of that many bytes,
// and how many of them are written by then.
func (d *Disk) crashWithin(length int) (written int, ok bool) {
	if d.crash == nil || d.crash.Position > d.stats.Positions+length {
		return 0, false
	}
	return max(0, d.crash.Position-d.stats.Positions), true
}

// leaveTorn leaves what remains of the interrupted write in a file.
func (d *Disk) leaveTorn(name string, prefix, data []byte, written int) {
	switch d.crash.Tear {
	case TearShort:
		d.files[name] = slices.Concat(prefix, data[:written])
	case TearZeroed:
		d.files[name] = slices.Concat(prefix, data[:written], make([]byte, len(data)-written))
	}
}
