package driver

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// writeRetryEvery is the pause before a failed write is tried again.
const writeRetryEvery = time.Second

// writeLoop writes what one shard has to keep. While a write fails it is repeated, and the
// shard sends nothing that depends on it: its group goes on without this member.
func (d *Driver) writeLoop(ctx context.Context, id uint32, queue <-chan control.StorageWrite) {
	for {
		select {
		case <-ctx.Done():
			return
		case save := <-queue:
			if !d.writeUntilDurable(ctx, save) {
				return
			}
			d.post(func(now time.Duration) control.Output { return d.machine.StorageWritten(now, id) })
		}
	}
}

// writeUntilDurable repeats a failed write, as a full disk may get free space again.
func (d *Driver) writeUntilDurable(ctx context.Context, save control.StorageWrite) bool {
	for {
		err := d.write(save)
		if err == nil {
			return true
		}
		d.options.Log.WithError(err).WithField("shard", save.Shard).Error("cannot write control state; free space in the data folder or replace the disk")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(writeRetryEvery):
		}
	}
}

func (d *Driver) write(save control.StorageWrite) error {
	storage := d.options.Storage[save.Shard]
	if save.Checkpoint == nil {
		return storage.Save(save.Ready)
	}
	return storage.Checkpoint(save.Checkpoint.HardState, save.Checkpoint.Snapshot, save.Checkpoint.Entries)
}
