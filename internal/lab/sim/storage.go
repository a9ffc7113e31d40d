package sim

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

const (
	// maxLogBytes is small, so that checkpoints are written often.
	maxLogBytes = 8 << 10
	// minSync and syncSpread bound how long a write takes on a sound disk.
	minSync    = 300 * time.Microsecond
	syncSpread = 6 * time.Millisecond
	// saveRetryEvery is the driver's pause after a failed write.
	saveRetryEvery = time.Second
	// maxTornBytes is how far into a write a crash may come.
	maxTornBytes = 512
)

// storage is the disk of a node and the logs on it. A write becomes durable when
// its time has passed; a crash before that loses or tears it.
type storage struct {
	disk *memdisk.Disk
	logs map[uint32]*durable.Log
	// incarnation numbers the disk, as the identity file of a data folder does.
	incarnation uint64
	// founders and addresses are what a data folder keeps of the founding and of
	// other nodes, in a deployment whose nodes find each other through seeds.
	founders  []member.ID
	addresses []string
	// full is set while the disk refuses all writes.
	full bool
	// slow is added to the time of each write.
	slow    time.Duration
	pending []*pendingSave
	// busyUntil is when the last write of each shard ends: the writes of one
	// shard are sequential.
	busyUntil map[uint32]time.Duration
}

// pendingSave is a write that is not durable yet.
type pendingSave struct {
	save control.StorageWrite
}

func newStorage() *storage {
	return &storage{disk: memdisk.New(), incarnation: replication.FoundingIncarnation, busyUntil: map[uint32]time.Duration{}}
}

func (n *node) hasFaultyDisk() bool {
	return n.storage != nil && (n.storage.slow > 0 || n.storage.full)
}

// open reads what the disk kept of each shard.
func (s *storage) open(serviceShards uint32) (map[uint32]replication.Restored, error) {
	s.logs = map[uint32]*durable.Log{}
	restored := map[uint32]replication.Restored{}
	for shard := uint32(0); shard <= serviceShards; shard++ {
		log, state, err := durable.OpenWithLimit(s.disk, fmt.Sprintf("shard-%03d", shard), maxLogBytes)
		if err != nil {
			return nil, errors.Wrapf(err, "open shard %d", shard)
		}
		s.logs[shard] = log
		restored[shard] = state
	}
	return restored, nil
}

// write makes a save durable.
func (s *storage) write(save control.StorageWrite) error {
	log := s.logs[save.Shard]
	if save.Checkpoint == nil {
		return log.Save(save.Ready)
	}
	return log.Checkpoint(save.Checkpoint.HardState, save.Checkpoint.Snapshot, save.Checkpoint.Entries)
}

// finish removes a save from the pending ones.
func (s *storage) finish(done *pendingSave) {
	for position, pending := range s.pending {
		if pending == done {
			s.pending = append(s.pending[:position], s.pending[position+1:]...)
			return
		}
	}
}

// crash ends all pending writes: each is lost, torn, or durable without the
// node's knowledge.
func (s *storage) crash(world *simulation) {
	pending := s.pending
	s.pending = nil
	for _, one := range pending {
		if world.chance(0.5) {
			continue
		}
		tears := memdisk.Tears()
		s.disk.CrashAt(memdisk.Crash{
			Position: s.disk.Stats().Positions + world.random.IntN(maxTornBytes),
			Tear:     tears[world.random.IntN(len(tears))],
		})
		err := s.write(one.save)
		s.disk.Restart()
		if err != nil {
			break
		}
	}
	clear(s.busyUntil)
}

// save starts a write of a node, at whose end the machine's Saved is called.
func (n *node) save(save control.StorageWrite) {
	pending := &pendingSave{save: save}
	n.storage.pending = append(n.storage.pending, pending)
	process := n.process
	if n.world.broken(BreakAckBeforeSync) {
		n.world.after(0, func() { n.saved(process, save.Shard) })
	}
	ends := max(n.world.now, n.storage.busyUntil[save.Shard]) + n.syncTime()
	n.storage.busyUntil[save.Shard] = ends
	n.world.after(ends-n.world.now, func() { n.sync(process, pending) })
}

func (n *node) syncTime() time.Duration {
	took := minSync + n.world.upTo(syncSpread)
	if n.storage.slow > 0 {
		took += n.storage.slow/2 + n.world.upTo(n.storage.slow)
	}
	return took
}

// sync ends a write. A write to a full disk is retried, as the driver does.
func (n *node) sync(process uint64, pending *pendingSave) {
	if n.process != process || !n.up {
		return
	}
	err := n.storage.write(pending.save)
	switch {
	case errors.Is(err, twoslot.ErrDiskFull):
		n.world.after(saveRetryEvery, func() { n.sync(process, pending) })
		return
	case err != nil && n.world.broken(BreakAckBeforeSync):
		// The node went on as if an earlier write had succeeded.
		n.storage.finish(pending)
		return
	case err != nil:
		n.world.violate("durable_write", "%s could not write shard %d: %v", n.info.ID, pending.save.Shard, err)
		return
	}
	n.storage.finish(pending)
	if !n.world.broken(BreakAckBeforeSync) {
		n.saved(process, pending.save.Shard)
	}
}

func (n *node) saved(process uint64, shard uint32) {
	n.post(process, func(now time.Duration) control.Output { return n.machine.StorageWritten(now, shard) })
}
