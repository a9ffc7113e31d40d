package node

import (
	"encoding/json"
	"fmt"
	"io/fs"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
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
}

// ForeignDataError says that a data folder belongs to another node.
type ForeignDataError struct {
	Folder string
	Found  string
	Want   string
}

// Error implements error.
func (e *ForeignDataError) Error() string {
	return fmt.Sprintf("data folder %s belongs to node %q and not to %q; point data_folder at this node's own folder", e.Folder, e.Found, e.Want)
}

// storage is the data folder of a node, with what it kept of each shard.
type storage struct {
	disk     *disk.Disk
	logs     map[uint32]*durable.Log
	restored map[uint32]replication.Restored
	// learner is set when the folder was never initialised. Its node may have
	// voted and lost its disk, so that it must not vote.
	learner bool
}

// openStorage opens the data folder, if the settings name one.
func openStorage(settings *static.Settings) (*storage, error) {
	opened := &storage{logs: map[uint32]*durable.Log{}, restored: map[uint32]replication.Restored{}}
	if !settings.HoldsState() {
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
	initialised, err := readIdentity(s.disk, settings)
	if err != nil {
		return err
	}
	s.learner = !initialised
	for shard := uint32(0); shard <= uint32(settings.ServiceShards); shard++ {
		log, restored, err := durable.Open(s.disk, fmt.Sprintf("shard-%03d", shard))
		if err != nil {
			return errors.Wrapf(err, "open shard %d in %s", shard, settings.DataFolder)
		}
		s.logs[shard] = log
		s.restored[shard] = restored
	}
	return nil
}

// shards returns the storage of each shard for the control driver.
func (s *storage) shards() map[uint32]control.Storage {
	shards := map[uint32]control.Storage{}
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

// readIdentity tells whether a data folder was initialised for this node.
func readIdentity(folder *disk.Disk, settings *static.Settings) (bool, error) {
	data, err := folder.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	kept := identity{}
	if err := json.Unmarshal(data, &kept); err != nil {
		return false, errors.Wrapf(err, "read %s in %s; restore the folder or replace the node", identityFile, settings.DataFolder)
	}
	if kept.Node != settings.Node {
		return false, &ForeignDataError{Folder: settings.DataFolder, Found: kept.Node, Want: settings.Node}
	}
	return true, nil
}

// Initialise marks an empty data folder as that of a founding member, which may
// vote. It is run once on each node with a disk when a deployment is first set
// up, and never on a machine that replaces another.
func Initialise(settings *static.Settings) error {
	if !settings.HoldsState() {
		return errors.New("the settings name no data_folder; only nodes with disks are initialised")
	}
	folder, err := disk.Open(settings.DataFolder)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	initialised, err := readIdentity(folder, settings)
	if err != nil {
		return err
	}
	if initialised {
		return errors.Errorf("data folder %s is initialised already; start the node", settings.DataFolder)
	}
	data, err := json.Marshal(identity{Node: settings.Node})
	if err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	return folder.WriteFile(identityFile, data)
}
