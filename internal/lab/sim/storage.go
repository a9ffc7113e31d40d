package sim

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

const (
	// maxLogBytes is small, so that checkpoints are written often.
	maxLogBytes = 8 << 10
	// diskBytes is the size of a disk: it holds a log of many small commands, or of few
	// large ones.
	diskBytes = 1 << 20
	// minSync and syncSpread bound how long a write takes on a sound disk.
	minSync    = 300 * time.Microsecond
	syncSpread = 6 * time.Millisecond
	// saveRetryEvery is the driver's pause after a failed write.
	saveRetryEvery = time.Second
	// maxTornBytes is how far into a write a crash may come.
	maxTornBytes = 512
)

// diskLimits returns the limits of control state that a node derives from its disk. They
// are in the ratios of package storagelimit, whose smallest ones are for larger disks.
func (e *environment) diskLimits() storagelimit.Limits {
	const commandBytes, logBytes = diskBytes / 10, diskBytes / 5
	if e.broken(BreakDiskSizeUnknown) {
		return storagelimit.For(storagelimit.Resources{})
	}
	return storagelimit.Limits{Command: commandBytes, Log: commandBytes, CheckpointLog: logBytes, Disk: diskBytes}
}

// storage is the disk of a node and the logs on it. A write becomes durable when
// its time has passed; a crash before that loses or tears it.
type storage struct {
	node *node
	env  *environment
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

func newStorage(owner *node) *storage {
	disk := memdisk.New()
	disk.SetCapacity(diskBytes)
	return &storage{
		node:        owner,
		env:         owner.env,
		disk:        disk,
		incarnation: replication.FoundingIncarnation,
		busyUntil:   map[uint32]time.Duration{},
	}
}

// faulty reports whether the disk is slow or full.
func (s *storage) faulty() bool { return s.slow > 0 || s.full }

// setFull makes the disk refuse all writes, or accept them again.
func (s *storage) setFull(full bool) {
	s.disk.SetFull(full)
	s.full = full
}

// lose empties the disk, as that of another machine is.
func (s *storage) lose() {
	s.disk.Lose()
	s.incarnation = s.env.newDiskIncarnation()
	s.founders = nil
}

// open reads what the disk kept of each shard.
func (s *storage) open(serviceShards uint32) (map[uint32]replication.DurableState, error) {
	s.logs = map[uint32]*durable.Log{}
	restored := map[uint32]replication.DurableState{}
	for shard := uint32(0); shard <= serviceShards; shard++ {
		log, state, err := durable.OpenWithLimits(s.disk, fmt.Sprintf("shard-%03d", shard), durable.Limits{
			MinLogBytes: maxLogBytes,
			MaxLogBytes: s.env.diskLimits().CheckpointLog,
		})
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
func (s *storage) crash() {
	pending := s.pending
	s.pending = nil
	for _, one := range pending {
		if s.env.chance(0.5) {
			continue
		}
		tears := memdisk.Tears()
		s.disk.CrashAt(memdisk.Crash{
			Position: s.disk.Stats().Positions + s.env.random.IntN(maxTornBytes),
			Tear:     tears[s.env.random.IntN(len(tears))],
		})
		err := s.write(one.save)
		s.disk.Restart()
		if err != nil {
			break
		}
	}
	clear(s.busyUntil)
}

// save starts a write, at whose end the machine's StorageWritten is called.
func (s *storage) save(save control.StorageWrite) {
	pending := &pendingSave{save: save}
	s.pending = append(s.pending, pending)
	process := s.node.process
	if s.env.broken(BreakAckBeforeSync) {
		s.env.after(0, func() { s.saved(process, save.Shard) })
	}
	ends := max(s.env.now, s.busyUntil[save.Shard]) + s.syncTime()
	s.busyUntil[save.Shard] = ends
	s.env.after(ends-s.env.now, func() { s.sync(process, pending) })
}

func (s *storage) syncTime() time.Duration {
	took := minSync + s.env.upTo(syncSpread)
	if s.slow > 0 {
		took += s.slow/2 + s.env.upTo(s.slow)
	}
	return took
}

// sync ends a write. A write to a full disk is retried, as the driver does.
func (s *storage) sync(process uint64, pending *pendingSave) {
	if s.node.process != process || !s.node.up {
		return
	}
	err := s.write(pending.save)
	switch {
	case errors.Is(err, twoslot.ErrDiskFull):
		if !s.disk.Full() {
			s.env.violate("disk_outgrown", "%s has no room for a write of shard %d: its disk of %d bytes holds %d",
				s.node.info.ID, pending.save.Shard, diskBytes, s.disk.Used())
		}
		s.env.after(saveRetryEvery, func() { s.sync(process, pending) })
		return
	case err != nil && s.env.broken(BreakAckBeforeSync):
		// The node went on as if an earlier write had succeeded.
		s.finish(pending)
		return
	case err != nil:
		s.env.violate("durable_write", "%s could not write shard %d: %v", s.node.info.ID, pending.save.Shard, err)
		return
	}
	s.finish(pending)
	if !s.env.broken(BreakAckBeforeSync) {
		s.saved(process, pending.save.Shard)
	}
}

func (s *storage) saved(process uint64, shard uint32) {
	s.node.post(process, func(now time.Duration) control.Output { return s.node.machine.StorageWritten(now, shard) })
}
