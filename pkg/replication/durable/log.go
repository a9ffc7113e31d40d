package durable

import (
	"errors"
	"slices"
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// DefaultMinLogBytes is the size in bytes of the records after a small checkpoint at which
// Save writes the next checkpoint.
const DefaultMinLogBytes = 4 << 20

// checkpointRatio is how many times as large as a checkpoint the records after it may
// become, so that a large state isn't written all the time.
const checkpointRatio = 2

// Log is the durable state of one member. It is not safe for concurrent use.
type Log struct {
	store *twoslot.Store
	// state is what is durable.
	state  replication.Restored
	limits Limits
	// checkpointAt is the size of the records in bytes at which Save writes a
	// checkpoint.
	checkpointAt int
	// diskBytes is what DiskBytes returns.
	diskBytes atomic.Int64
}

// Limits bound the records after a checkpoint, in bytes. A Save that takes them to the bound
// writes the next checkpoint.
type Limits struct {
	// MinLogBytes is the bound for small states; it grows with the checkpoint.
	MinLogBytes int
	// MaxLogBytes bounds it for large states; zero is no bound.
	MaxLogBytes int
}

// Open reads the state of that name from the disk. The state is empty if the disk has
// none. Damaged state is an error that matches twoslot.ErrCorrupt.
func Open(disk twoslot.Disk, name string) (*Log, replication.Restored, error) {
	return OpenWithLimits(disk, name, Limits{MinLogBytes: DefaultMinLogBytes})
}

// OpenWithLimits is Open with bounds on the bytes of the records after a checkpoint.
func OpenWithLimits(disk twoslot.Disk, name string, limits Limits) (*Log, replication.Restored, error) {
	store, contents, err := twoslot.Open(disk, name)
	if err != nil {
		return nil, replication.Restored{}, err
	}
	state, err := restore(name, contents)
	if err != nil {
		return nil, replication.Restored{}, err
	}
	log := &Log{store: store, state: state, limits: limits}
	log.scheduleCheckpoint(len(contents.Payload))
	log.updateDiskBytes()
	restored := state
	restored.Entries = slices.Clone(state.Entries)
	return log, restored, nil
}

// Save makes the hard state, snapshot and entries of a Ready durable. All of them are
// durable when Save returns nil, and after a crash all or none are. On
// twoslot.ErrDiskFull and *OrderError nothing changed, and Save can be called again;
// after other errors the log must be opened again. The memory of the Ready must not
// be changed afterwards.
func (l *Log) Save(ready replication.Ready) error {
	if !ready.MustSync() {
		return nil
	}
	saved := record{hardState: ready.HardState, snapshot: ready.Snapshot, entries: ready.Entries}
	next, err := saved.applyTo(l.state)
	if err != nil {
		return err
	}
	if ready.Snapshot != nil {
		return l.writeCheckpoint(next)
	}
	if err := l.store.Append(saved.encode()); err != nil {
		return err
	}
	l.state = next
	l.updateDiskBytes()
	return l.checkpointIfLarge()
}

// Checkpoint replaces all durable state. It fails as Save does.
func (l *Log) Checkpoint(hardState replication.HardState, snapshot *replication.Snapshot, entries []replication.Entry) error {
	replacement := record{hardState: &hardState, snapshot: snapshot, entries: entries}
	next, err := replacement.applyTo(replication.Restored{HardState: replication.HardState{Term: l.state.Term}})
	if err != nil {
		return err
	}
	return l.writeCheckpoint(next)
}

// DiskBytes returns how much of the disk the state takes, in bytes. Unlike the other
// methods it may be called concurrently.
func (l *Log) DiskBytes() int64 { return l.diskBytes.Load() }

func (l *Log) writeCheckpoint(next replication.Restored) error {
	payload := encode(next)
	if err := l.store.Checkpoint(payload); err != nil {
		return err
	}
	l.state = next
	l.scheduleCheckpoint(len(payload))
	l.updateDiskBytes()
	return nil
}

func (l *Log) updateDiskBytes() { l.diskBytes.Store(int64(l.store.DiskBytes())) }

// checkpointIfLarge bounds the log. What was saved is durable already, so a disk that
// is too full for the checkpoint only delays it.
func (l *Log) checkpointIfLarge() error {
	if l.store.LogBytes() < l.checkpointAt {
		return nil
	}
	err := l.writeCheckpoint(l.state)
	if errors.Is(err, twoslot.ErrDiskFull) {
		l.checkpointAt = l.store.LogBytes() + l.limits.MinLogBytes
		return nil
	}
	return err
}

func (l *Log) scheduleCheckpoint(checkpointBytes int) {
	l.checkpointAt = max(l.limits.MinLogBytes, checkpointRatio*checkpointBytes)
	if l.limits.MaxLogBytes > 0 {
		l.checkpointAt = min(l.checkpointAt, l.limits.MaxLogBytes)
	}
}
