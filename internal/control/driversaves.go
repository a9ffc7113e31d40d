package control

import (
	"context"
	"time"
)

// saveRetryEvery is the pause before a failed write is tried again.
const saveRetryEvery = time.Second

// saveLoop writes what one shard has to keep. A shard whose disk fails stops
// there: it sends nothing that depends on the write, so that its group goes on
// without it.
func (d *Driver) saveLoop(ctx context.Context, id uint32, queue <-chan Save) {
	for {
		select {
		case <-ctx.Done():
			return
		case save := <-queue:
			if !d.saveUntilDurable(ctx, save) {
				return
			}
			d.post(func(now time.Duration) Output { return d.machine.Saved(now, id) })
		}
	}
}

// saveUntilDurable repeats a failed write, as a full disk may get room again.
func (d *Driver) saveUntilDurable(ctx context.Context, save Save) bool {
	for {
		err := d.write(save)
		if err == nil {
			return true
		}
		d.options.Log.WithError(err).WithField("shard", save.Shard).Error("cannot write control state; free space in the data folder or replace the disk")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(saveRetryEvery):
		}
	}
}

func (d *Driver) write(save Save) error {
	storage := d.options.Storage[save.Shard]
	if save.Checkpoint == nil {
		return storage.Save(save.Ready)
	}
	return storage.Checkpoint(save.Checkpoint.HardState, save.Checkpoint.Snapshot, save.Checkpoint.Entries)
}
