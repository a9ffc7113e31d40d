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
// shard. New uses it from one goroutine. While the node runs, the control driver owns the
// logs, addressService writes addressesFile, and Reload reads addressesFile; nothing else
// changes.
type storage struct {
	// disk is nil on a node without a data folder.
	disk *disk.Disk
	// logs contains the durable log of each shard, and restored the state that was read
	// from it; the keys are shard numbers.
	logs     map[uint32]*durable.Log
	restored map[uint32]replication.DurableState
	// incarnation identifies the folder. Votes that the node gave under the
	// incarnation of a lost folder count for that incarnation only.
	incarnation uint64
	// founders are the founding voters if this node is one of them and the groups were
	// formed through seeds; otherwise empty.
	founders []string
	// limits are derived from the resources of the machine.
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

// machineResources returns the resources that the machine provides for control state. The
// disk capacity is the one in the settings or, if they give none, the capacity of the file
// system of the data folder.
func machineResources(settings *static.Settings, folder *disk.Disk) storagelimit.Resources {
	machine := storagelimit.Resources{DiskBytes: settings.DiskBytes(), MemoryBytes: settings.MemoryBytes()}
	if machine.DiskBytes > 0 {
		return machine
	}
	// If the capacity of the file system can't be read, DiskBytes stays 0: no limit.
	if capacity, err := folder.CapacityBytes(); err == nil {
		machine.DiskBytes = capacity
	}
	return machine
}

// read reads or creates the identity of the folder, and opens all shards.
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
		// If the files of a shard are missing, its votes are lost, and the node must not
		// vote again under the earlier incarnation.
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

// openShard opens the durable log of a shard. If the shard has no checkpoint, openShard
// writes one, so that a later start detects the loss of the files.
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

// shardName returns the common prefix of the names of a shard's files.
func shardName(shard uint32) string { return fmt.Sprintf("shard-%03d", shard) }

// hasShards reports whether the folder has a checkpoint of each of the stored.Shards shards.
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

// shards returns the durable log of each shard as the type that the control driver needs.
func (s *storage) shards() map[uint32]driver.Storage {
	shards := map[uint32]driver.Storage{}
	for id, log := range s.logs {
		shards[id] = log
	}
	return shards
}

// close closes the data folder, if the node has one.
func (s *storage) close() {
	if s.disk != nil {
		_ = s.disk.Close()
	}
}
