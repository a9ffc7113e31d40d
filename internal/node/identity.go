package node

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/disk"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// identityFile is the file whose presence marks a data folder as initialised.
const identityFile = "identity"

// identity is the content of the identity file. Folders that earlier releases wrote must
// stay readable; see testdata/folders.
type identity struct {
	Node string `json:"node"`
	// Incarnation distinguishes the folders that the node has had; the first folder of
	// a founder has replication.FoundingIncarnation. The JSON key keeps its older name
	// because a file without this key is read as the file of a founder.
	Incarnation uint64 `json:"life"`
	// Founders are the founding voters of the groups if this node formed them together
	// with the other seeds; empty on a node that joined the groups later.
	Founders []string `json:"founders,omitempty"`
	// Shards is the number of shards that have files in the folder, counted from shard
	// 0. It is written after these files, and before the node sends any message of these
	// shards.
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

// Initialise marks an empty data folder as the folder of a founding member, which may
// vote. Operators run it once on each node with a disk when they set up a deployment, and
// never on a machine that replaces another.
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

// createIdentity writes a new identity to a folder that must not vote under an earlier
// incarnation, and makes it durable. The argument initialised says whether the folder had an
// identity before. The node becomes a founder only if nothing was ever written to the folder.
func createIdentity(folder *disk.Disk, settings *static.Settings, initialised bool) (identity, error) {
	empty, err := folder.Empty()
	if err != nil {
		return identity{}, err
	}
	if settings.Founder() && !initialised && empty {
		return createFounder(folder, settings)
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return identity{}, err
	}
	return writeIdentity(folder, settings, incarnation)
}

// createFounder writes the identity of a founder and makes it durable. The founders are
// sorted, because their order must not depend on the order of the seeds in the settings.
func createFounder(folder *disk.Disk, settings *static.Settings) (identity, error) {
	founder := identity{
		Node:        settings.MemberID(),
		Incarnation: replication.FoundingIncarnation,
		Founders:    slices.Sorted(slices.Values(settings.Seeds)),
	}
	return founder, founder.write(folder)
}

// newIncarnation returns a random incarnation for a folder that must not vote under an
// earlier one, because it was empty or had lost the files of a shard. The incarnation is
// random because those of lost folders are not known.
func newIncarnation() (uint64, error) {
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return 0, errors.Wrap(err, "draw an incarnation for the data folder")
	}
	return max(binary.BigEndian.Uint64(drawn[:]), replication.FoundingIncarnation+1), nil
}

// writeIdentity writes an identity and makes it durable. The node may send nothing under an
// identity before it is durable.
func writeIdentity(folder *disk.Disk, settings *static.Settings, incarnation uint64) (identity, error) {
	written := identity{Node: settings.MemberID(), Incarnation: incarnation}
	return written, written.write(folder)
}

// write replaces the identity in the folder and makes the new one durable.
func (i identity) write(folder *disk.Disk) error {
	data, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode the identity of the data folder")
	}
	return folder.WriteFile(identityFile, data)
}

// readIdentity returns the identity of a data folder. The result initialised is false if the
// folder has no identity. The error is a *ForeignDataError if the folder belongs to another node.
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
		// The file was written by the init command of a release without incarnations.
		stored.Incarnation = replication.FoundingIncarnation
	}
	return stored, true, nil
}
