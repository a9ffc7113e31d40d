package driver

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// writeRetryEvery is the pause before a failed write is tried again.
const writeRetryEvery = time.Second

// shardWriter makes durable what one shard has to keep, in a goroutine of its own.
type shardWriter struct {
	storage Storage
	log     *logrus.Entry
	// diskFullWriters counts the writers whose disk refuses a write for lack of space.
	diskFullWriters *atomic.Int64
	// queue holds the outstanding write: a shard has one at the most.
	queue chan control.StorageWrite
	// written is called after each write that is durable.
	written func()
}

// run writes until the context ends. While a write fails it is repeated, and the shard
// sends nothing that depends on it: its group goes on without this member.
func (w *shardWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case write := <-w.queue:
			if !w.writeUntilDurable(ctx, write) {
				return
			}
			w.written()
		}
	}
}

// writeUntilDurable repeats a failed write, as a full disk may get free space again.
func (w *shardWriter) writeUntilDurable(ctx context.Context, write control.StorageWrite) bool {
	diskFull := false
	defer func() { w.updateDiskFullWriters(diskFull, false) }()
	for {
		err := w.write(write)
		if err == nil {
			return true
		}
		w.updateDiskFullWriters(diskFull, errors.Is(err, twoslot.ErrDiskFull))
		diskFull = errors.Is(err, twoslot.ErrDiskFull)
		w.log.WithError(err).WithField("shard", write.Shard).Error("cannot write control state; free space in the data folder or replace the disk")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeRetryEvery):
		}
	}
}

func (w *shardWriter) write(write control.StorageWrite) error {
	if write.Checkpoint == nil {
		return w.storage.Save(write.Ready)
	}
	return w.storage.Checkpoint(write.Checkpoint.HardState, write.Checkpoint.Snapshot, write.Checkpoint.Entries)
}

// updateDiskFullWriters counts this writer among those that are refused, or no longer.
func (w *shardWriter) updateDiskFullWriters(before, now bool) {
	switch {
	case now && !before:
		w.diskFullWriters.Add(1)
	case before && !now:
		w.diskFullWriters.Add(-1)
	}
}
