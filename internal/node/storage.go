package node

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/disk"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
)

// identityFile marks a data folder as initialised.
const identityFile = "identity"

// identity is the content of the identity file.
type identity struct {
	Node string `json:"node"`
	// Incarnation tells the folders apart that the node has had; a founder's
	// first is replication.FoundingIncarnation. The key keeps its older name: a
	// file under another one would be read as a founder's.
	Incarnation uint64 `json:"life"`
	// Founders are the founding voters of the groups that the node has helped to
	// form through seeds; empty on a node that joined them.
	Founders []string `json:"founders,omitempty"`
	// Shards is how many shards have files in the folder, from shard 0 on. It is
	// written after the files, and before anything is sent of their shards.
	Shards uint32 `json:"shards,omitempty"`
}

// ForeignDataError says that a data folder belongs to another node.
type ForeignDataError struct {
	Folder   string
	Found    string
	Expected string
}

// Error implements error.
func (e *ForeignDataError) Error() string {
	return fmt.Sprintf("data folder %s belongs to node %q and not to %q; point data_folder at this node's own folder", e.Folder, e.Found, e.Expected)
}

// storage is the data folder of a node, with what it kept of each shard.
type storage struct {
	disk     *disk.Disk
	logs     map[uint32]*durable.Log
	restored map[uint32]replication.Restored
	// incarnation names the folder. The node may have voted under another one that
	// was lost; what it promised then counts for that folder's incarnation only.
	incarnation uint64
	// founders are the founding voters if the node is one of them, and the groups
	// were formed through seeds.
	founders []string
}

// openStorage opens the data folder, if the settings name one.
func openStorage(settings *static.Settings) (*storage, error) {
	opened := &storage{logs: map[uint32]*durable.Log{}, restored: map[uint32]replication.Restored{}}
	if !settings.HasDisk() {
		return opened, nil
	}
	folder, err := disk.Open(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	opened.disk = folder
	if err := opened.read(settings); err != nil {
		opened.close()
		return nil, err
	}
	return opened, nil
}

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
		// What the folder had promised for a shard whose files are gone is not
		// known any more, so that it must not vote under its former incarnation.
		stored, err = s.createIdentity(settings, initialised)
	}
	if err != nil {
		return err
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

// createIdentity makes the identity of a folder durable that can't vote under a former
// incarnation. A group is formed only in a folder that nothing was ever written to.
func (s *storage) createIdentity(settings *static.Settings, used bool) (identity, error) {
	empty, err := s.disk.Empty()
	if err != nil {
		return identity{}, err
	}
	if settings.Founder() && !used && empty {
		return createFounder(s.disk, settings)
	}
	return createIncarnation(s.disk, settings)
}

// createFounder makes the identity of a founder durable. The order of the founders
// must not depend on that of the seeds in the settings.
func createFounder(folder *disk.Disk, settings *static.Settings) (identity, error) {
	made := identity{
		Node:        settings.MemberID(),
		Incarnation: replication.FoundingIncarnation,
		Founders:    slices.Sorted(slices.Values(settings.Seeds)),
	}
	return made, made.write(folder)
}

// openShard reads what the folder kept of a shard. A first checkpoint is written
// of it, so that a loss of the files shows at a later start.
func (s *storage) openShard(shard uint32) error {
	log, restored, err := durable.Open(s.disk, shardName(shard))
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

func shardName(shard uint32) string { return fmt.Sprintf("shard-%03d", shard) }

// hasShards tells whether the folder has all files that its identity tells of.
func hasShards(folder *disk.Disk, stored identity) (bool, error) {
	for shard := range stored.Shards {
		if found, err := hasShard(folder, shard); !found || err != nil {
			return false, err
		}
	}
	return true, nil
}

// hasShard tells whether the folder has a checkpoint of a shard.
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

// shards returns the storage of each shard for the control driver.
func (s *storage) shards() map[uint32]driver.Storage {
	shards := map[uint32]driver.Storage{}
	for id, log := range s.logs {
		shards[id] = log
	}
	return shards
}

func (s *storage) close() {
	if s.disk != nil {
		_ = s.disk.Close()
	}
}

// newIncarnation names a folder that was found empty. It is random, since
// nothing that the node could count on tells the incarnations of its folders
// before.
func newIncarnation() (uint64, error) {
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return 0, errors.Wrap(err, "draw an incarnation for the data folder")
	}
	return max(binary.BigEndian.Uint64(drawn[:]), replication.FoundingIncarnation+1), nil
}

// createIncarnation makes the identity of a folder that was found empty durable.
func createIncarnation(folder *disk.Disk, settings *static.Settings) (identity, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return identity{}, err
	}
	return writeIdentity(folder, settings, incarnation)
}

// writeIdentity makes the identity of an empty folder durable, which comes
// before anything is sent under it.
func writeIdentity(folder *disk.Disk, settings *static.Settings, incarnation uint64) (identity, error) {
	made := identity{Node: settings.MemberID(), Incarnation: incarnation}
	return made, made.write(folder)
}

func (i identity) write(folder *disk.Disk) error {
	data, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	return folder.WriteFile(identityFile, data)
}

// readIdentity tells whether a data folder was initialised for this node, and
// its incarnation.
func readIdentity(folder *disk.Disk, settings *static.Settings) (stored identity, initialised bool, err error) {
	data, err := folder.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, err
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return identity{}, false, errors.Wrapf(err, "read %s in %s; restore the folder or replace the node", identityFile, settings.DataFolder)
	}
	if stored.Node != settings.MemberID() {
		return identity{}, false, &ForeignDataError{Folder: settings.DataFolder, Found: stored.Node, Expected: settings.MemberID()}
	}
	if stored.Incarnation == 0 {
		// Written by init before incarnations were numbered.
		stored.Incarnation = replication.FoundingIncarnation
	}
	return stored, true, nil
}

// Initialise marks an empty data folder as that of a founding member, which may
// vote. It is run once on each node with a disk when a deployment is first set
// up, and never on a machine that replaces another.
func Initialise(settings *static.Settings) error {
	if !settings.HasDisk() {
		return errors.New("the settings name no data_folder; only nodes with disks are initialised")
	}
	if settings.Seeded() {
		return errors.New("the settings name no group; set founding at the first start of the nodes instead of running init")
	}
	folder, err := disk.Open(settings.DataFolder)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	stored, initialised, err := readIdentity(folder, settings)
	if err != nil {
		return err
	}
	if initialised && stored.Incarnation != replication.FoundingIncarnation {
		return errors.Errorf("data folder %s was made by a start without init, as for a replaced disk; start the node, or empty the folder first if the deployment is new", settings.DataFolder)
	}
	if initialised {
		return errors.Errorf("data folder %s is initialised already; start the node", settings.DataFolder)
	}
	_, err = writeIdentity(folder, settings, replication.FoundingIncarnation)
	return err
}
