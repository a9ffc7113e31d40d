package plans

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// identityFile names the incarnation of a data folder.
const identityFile = "identity"

// awaitVotes returns when the disks of all nodes that hold a shard show a vote
// of the present incarnation of a node's folder, in every shard that the node is to
// hold. A change that all of them hold survives any loss of a minority, whether
// or not it has been marked as committed; what is durable proves it, whatever
// nodes say.
func (run *run) awaitVotes(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	began := run.Clock.Now()
	var last error
	for ctx.Err() == nil {
		if last = run.votesEverywhere(ctx, name); last == nil {
			run.Log.WithField("after", run.Clock.Now()-began).Info(name + " has its votes")
			return nil
		}
		pause.For(ctx, watchEvery)
	}
	return errors.Wrapf(last, "%s did not get its votes within %v", name, recoveryTimeout)
}

// votesEverywhere returns nil if all of these disks show the vote of a node.
func (run *run) votesEverywhere(ctx context.Context, name string) error {
	node, _ := run.Fleet.Topology().Node(name)
	status, err := run.Recorder.Status(ctx, operator.Target{Node: name, ControlAddress: node.ControlAddress()})
	if err != nil {
		return err
	}
	incarnation, err := incarnationOf(run.Fleet.DataFolder(name))
	if err != nil {
		return err
	}
	voter := replication.Voter{ID: member.ID(name), Incarnation: incarnation}
	for _, row := range status.GetShards() {
		if !lo.Contains(row.GetGroup(), name) {
			continue
		}
		for _, holder := range row.GetGroup() {
			if err := votesOn(run.Fleet.DataFolder(holder), voter, row.GetShard()); err != nil {
				return errors.Wrapf(err, "disk of %s", holder)
			}
		}
	}
	return nil
}

// votesOn returns nil if the last change of a shard's group that a folder holds
// gives the voter a vote.
func votesOn(folder string, voter replication.Voter, shard uint32) error {
	_, kept, err := durable.Open(readOnlyDisk{folder: folder}, fmt.Sprintf("shard-%03d", shard))
	if err != nil {
		return err
	}
	slots, err := lastMemberSlots(kept)
	if err != nil {
		return err
	}
	if !lo.Contains(slots, replication.Slot{Voter: voter}) {
		return errors.Errorf("shard %d has no vote for %s in incarnation %d", shard, voter.ID, voter.Incarnation)
	}
	return nil
}

// incarnationOf reads the incarnation of a data folder.
func incarnationOf(folder string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if err != nil {
		return 0, errors.Wrap(err, "read the identity of a data folder")
	}
	var identity struct {
		Incarnation uint64 `json:"life"`
	}
	return identity.Incarnation, errors.Wrap(json.Unmarshal(data, &identity), "parse the identity of a data folder")
}

// lastMemberSlots returns the slots of a shard's group by the last change that is durable.
func lastMemberSlots(restored replication.DurableState) ([]replication.Slot, error) {
	var slots []replication.Slot
	if restored.Snapshot != nil {
		slots = restored.Snapshot.Slots
	}
	for _, entry := range restored.Entries {
		if entry.Kind != replication.EntryGroupChange {
			continue
		}
		slots = nil
		if err := json.Unmarshal(entry.Command, &slots); err != nil {
			return nil, errors.Wrap(err, "read the places of a shard")
		}
	}
	return slots, nil
}

// readOnlyDisk reads the folder of a running node.
type readOnlyDisk struct {
	folder string
}

var _ twoslot.Disk = readOnlyDisk{}

// errReadOnly keeps the lab from changing what belongs to a node.
var errReadOnly = errors.New("the folder belongs to a running node")

// ReadFile implements twoslot.Disk.
func (disk readOnlyDisk) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(disk.folder, name))
}

// WriteFile implements twoslot.Disk.
func (disk readOnlyDisk) WriteFile(string, []byte) error { return errReadOnly }

// Append implements twoslot.Disk.
func (disk readOnlyDisk) Append(string, []byte) error { return errReadOnly }

// Truncate implements twoslot.Disk.
func (disk readOnlyDisk) Truncate(string, int) error { return errReadOnly }
