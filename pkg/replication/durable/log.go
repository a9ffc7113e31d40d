package durable

import (
	"errors"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// DefaultMaxLogBytes is the size in bytes of the records after a checkpoint at which
// Save writes the next checkpoint.
const DefaultMaxLogBytes = 4 << 20

// checkpointRatio is how many times as large as a checkpoint the records after it may
// become, so that a large state isn't written all the time.
const checkpointRatio = 2

// Log is the durable state of one member. It is not safe for concurrent use.
type Log struct {
	store *twoslot.Store
	// state is what is durable.
	state       replication.Restored
	maxLogBytes int
	// checkpointAt is the size of the records in bytes at which Save writes a
	// checkpoint.
	checkpointAt int
}

// Open reads the state of that name from the disk. The state is empty if the disk has
// none. Damaged state is an error that matches twoslot.ErrCorrupt.
func Open(disk twoslot.Disk, name string) (*Log, replication.Restored, error) {
	return OpenWithLimit(disk, name, DefaultMaxLogBytes)
}

// OpenWithLimit is Open with a bound on the bytes of the records after a checkpoint.
func OpenWithLimit(disk twoslot.Disk, name string, maxLogBytes int) (*Log, replication.Restored, error) {
	store, contents, err := twoslot.Open(disk, name)
	if err != nil {
		return nil, replication.Restored{}, err
	}
	state, err := restore(name, contents)
	if err != nil {
		return nil, replication.Restored{}, err
	}
	log := &Log{store: store, state: state, maxLogBytes: maxLogBytes}
	log.scheduleCheckpoint(len(contents.Payload))
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
	return l.checkpointIfLarge()
}

// Checkpoint replaces all durable state. It fails as Save does.
func (l *Log) Checkpoint(hard replication.HardState, snapshot *replication.Snapshot, entries []replication.Entry) error {
	replacement := record{hardState: &hard, snapshot: snapshot, entries: entries}
	next, err := replacement.applyTo(replication.Restored{HardState: replication.HardState{Term: l.state.Term}})
	if err != nil {
		return err
	}
	return l.writeCheckpoint(next)
}

func (l *Log) writeCheckpoint(next replication.Restored) error {
	payload := encode(next)
	if err := l.store.Checkpoint(payload); err != nil {
		return err
	}
	l.state = next
	l.scheduleCheckpoint(len(payload))
	return nil
}

// checkpointIfLarge bounds the log. What was saved is durable already, so a disk that
// is too full for the checkpoint only delays it.
func (l *Log) checkpointIfLarge() error {
	if l.store.LogBytes() < l.checkpointAt {
		return nil
	}
	err := l.writeCheckpoint(l.state)
	if errors.Is(err, twoslot.ErrDiskFull) {
		l.checkpointAt = l.store.LogBytes() + l.maxLogBytes
		return nil
	}
	return err
}

func (l *Log) scheduleCheckpoint(checkpointBytes int) {
	l.checkpointAt = max(l.maxLogBytes, checkpointRatio*checkpointBytes)
}
