package node

import (
	"fmt"
	"io/fs"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/internal/disk"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
)

// storage is the data folder of a node: its identity, and the durable log of each
// shard. New uses it in one goroutine. While the node runs, the logs belong to the control
// driver, and the file of addresses to addressService, which writes it, and Reload, which
// reads it; the rest stays as New left it.
type storage struct {
	// disk is nil on a node without a data folder.
	disk *disk.Disk
	// logs are the durable logs of the shards, and restored what they held, by shard.
	logs     map[uint32]*durable.Log
	restored map[uint32]replication.DurableState
	// incarnation identifies the folder. Votes that the node gave under the
	// incarnation of a lost folder count for that incarnation only.
	incarnation uint64
	// founders are the founding voters, if the node is one of them and the groups
	// were formed through seeds.
	founders []string
	// limits follow from what the machine gives.
	limits storagelimit.Limits
}

// openStorage opens the data folder, if the settings name one.
func openStorage(settings *static.Settings) (*storage, error) {
	opened := &storage{
		logs:     map[uint32]*durable.Log{},
		restored: map[uint32]replication.DurableState{},
		limits:   storagelimit.For(storagelimit.Resources{MemoryBytes: settings.MemoryBytes()}),
	}
	if !settings.HasDisk() {
		return opened, nil
	}
	folder, err := disk.Open(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	opened.disk = folder
	opened.limits = storagelimit.For(machineResources(settings, folder))
	if err := opened.read(settings); err != nil {
		opened.close()
		return nil, err
	}
	return opened, nil
}

// machineResources returns what the machine gives to control: the settings tell it, or else the
// file system of the data folder tells its size.
func machineResources(settings *static.Settings, folder *disk.Disk) storagelimit.Resources {
	machine := storagelimit.Resources{DiskBytes: settings.DiskBytes(), MemoryBytes: settings.MemoryBytes()}
	if machine.DiskBytes > 0 {
		return machine
	}
	// A file system that doesn't tell its size sets no bound.
	if capacity, err := folder.CapacityBytes(); err == nil {
		machine.DiskBytes = capacity
	}
	return machine
}

// read reads the identity of the folder, or creates one, and opens all shards.
func (s *storage) read(settings *static.Settings) error {
	stored, initialised, err := readIdentity(s.disk, settings)
	if err != nil {
		return err
	}
	complete, err := hasShards(s.disk, stored)
	if err != nil {
		return err
	}
	if !initialised || !complete {
		// The votes of a shard whose files are gone are lost, so that the node must
		// not vote again under the former incarnation.
		stored, err = createIdentity(s.disk, settings, initialised)
		if err != nil {
			return err
		}
	}
	s.incarnation = stored.Incarnation
	s.founders = stored.Founders
	for shard := uint32(0); shard <= uint32(settings.ServiceShards); shard++ {
		if err := s.openShard(shard); err != nil {
			return errors.Wrapf(err, "open shard %d in %s", shard, settings.DataFolder)
		}
	}
	if count := uint32(settings.ServiceShards) + 1; count > stored.Shards {
		stored.Shards = count
		return stored.write(s.disk)
	}
	return nil
}

// openShard opens the durable log of a shard. It writes a first checkpoint if there is
// none, so that a loss of the files is noticed at a later start.
func (s *storage) openShard(shard uint32) error {
	log, restored, err := durable.OpenWithLimits(s.disk, shardName(shard), durable.Limits{
		MinLogBytes: durable.DefaultMinLogBytes,
		MaxLogBytes: s.limits.CheckpointLog,
	})
	if err != nil {
		return err
	}
	s.logs[shard] = log
	s.restored[shard] = restored
	found, err := hasShard(s.disk, shard)
	if found || err != nil {
		return err
	}
	return log.Checkpoint(restored.HardState, restored.Snapshot, restored.Entries)
}

// shardName returns how the names of a shard's files begin.
func shardName(shard uint32) string { return fmt.Sprintf("shard-%03d", shard) }

// hasShards reports whether the folder has the files of every shard that its identity
// counts.
func hasShards(folder *disk.Disk, stored identity) (bool, error) {
	for shard := range stored.Shards {
		if found, err := hasShard(folder, shard); !found || err != nil {
			return false, err
		}
	}
	return true, nil
}

// hasShard reports whether the folder has a checkpoint of a shard, in either slot (package
// twoslot names the files).
func hasShard(folder *disk.Disk, shard uint32) (bool, error) {
	for _, slot := range []string{".slot0", ".slot1"} {
		_, err := folder.ReadFile(shardName(shard) + slot)
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return false, err
		}
	}
	return false, nil
}

// shards returns the durable log of each shard for the control driver.
func (s *storage) shards() map[uint32]driver.Storage {
	shards := map[uint32]driver.Storage{}
	for id, log := range s.logs {
		shards[id] = log
	}
	return shards
}

// close releases the folder, if there is one.
func (s *storage) close() {
	if s.disk != nil {
		_ = s.disk.Close()
	}
}
