package durable

import (
	"errors"
	"slices"
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// DefaultMinLogBytes is the value of Limits.MinLogBytes that Open uses.
const DefaultMinLogBytes = 4 << 20

// checkpointRatio is the ratio of the size of the log to the size of the checkpoint before
// it at which Save writes the next checkpoint. It prevents a large state from being written
// too often.
const checkpointRatio = 2

// Log is the durable state of one member. It is not safe for concurrent use, except for
// DiskBytes.
type Log struct {
	store *twoslot.Store
	// state is the durable state, as it is on the disk.
	state  replication.DurableState
	limits Limits
	// checkpointAt is the size of the log in bytes at which Save writes a checkpoint.
	checkpointAt int
	// diskBytes is the result of DiskBytes, for concurrent calls.
	diskBytes atomic.Int64
}

// Limits bound the size of the log, that is, of the records after a checkpoint. A Save after
// which the log has reached its limit writes the next checkpoint.
type Limits struct {
	// MinLogBytes is the limit for small states. For larger ones the limit is twice the
	// size of the checkpoint.
	MinLogBytes int
	// MaxLogBytes is the highest limit for large states; zero means that there is none.
	MaxLogBytes int
}

// Open reads the state of that name from the disk. The state is empty if the disk has
// none. If the state is damaged, Open returns an error that matches twoslot.ErrCorrupt.
func Open(disk twoslot.Disk, name string) (*Log, replication.DurableState, error) {
	return OpenWithLimits(disk, name, Limits{MinLogBytes: DefaultMinLogBytes})
}

// OpenWithLimits is Open with the given limits on the size of the log.
func OpenWithLimits(disk twoslot.Disk, name string, limits Limits) (*Log, replication.DurableState, error) {
	store, contents, err := twoslot.Open(disk, name)
	if err != nil {
		return nil, replication.DurableState{}, err
	}
	state, err := restore(name, contents)
	if err != nil {
		return nil, replication.DurableState{}, err
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
// after other errors the log must be opened again. The Log keeps references to the memory
// of the Ready, which must not be changed afterwards.
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

// Checkpoint replaces all durable state by a checkpoint. Its errors are those of Save.
func (l *Log) Checkpoint(hardState replication.HardState, snapshot *replication.Snapshot, entries []replication.Entry) error {
	replacement := record{hardState: &hardState, snapshot: snapshot, entries: entries}
	next, err := replacement.applyTo(replication.DurableState{HardState: replication.HardState{Term: l.state.Term}})
	if err != nil {
		return err
	}
	return l.writeCheckpoint(next)
}

// DiskBytes returns the total size in bytes of the files of the state. Unlike the other
// methods it may be called concurrently.
func (l *Log) DiskBytes() int64 { return l.diskBytes.Load() }

func (l *Log) writeCheckpoint(next replication.DurableState) error {
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

// checkpointIfLarge writes a checkpoint if the log has reached its limit. The saved state is
// already durable, so a disk that is too full for the checkpoint is not an error: the next
// attempt follows when the log has grown by another MinLogBytes.
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
