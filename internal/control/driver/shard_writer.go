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

// writeRetryEvery is the pause before a failed write is retried.
const writeRetryEvery = time.Second

// shardWriter performs the writes of one shard in a goroutine of its own.
type shardWriter struct {
	storage Storage
	log     *logrus.Entry
	// diskFullWriters counts the writers of all shards whose disk refuses a write for lack of
	// space.
	diskFullWriters *atomic.Int64
	// queue contains the outstanding write; a shard has at most one.
	queue chan control.StorageWrite
	// written is called when a write is durable.
	written func()
}

// run performs writes until the context ends. While a failed write is retried, the shard
// sends no message that depends on it, and its replica group continues without this member.
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

// writeUntilDurable retries a write until it succeeds, since space may be freed on a full
// disk. It returns false if the context ends before that.
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

// updateDiskFullWriters adjusts the count when this writer's disk has become full, or is no
// longer full.
func (w *shardWriter) updateDiskFullWriters(before, now bool) {
	switch {
	case now && !before:
		w.diskFullWriters.Add(1)
	case before && !now:
		w.diskFullWriters.Add(-1)
	}
}
