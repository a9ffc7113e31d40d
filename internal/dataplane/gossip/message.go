// Package gossip defines the updates by which nodes inform each other of their traffic, and
// distributes them. An update contains the load that a node puts on replicas, the prompts that
// it has sent to replicas, the chunks that replicas and stores have reported to it as cached or
// evicted, the incarnations of back ends that it has found to be gone, and the outcomes of its
// requests at back ends that failed some of them. Updates may be lost, delayed or duplicated
// without harm, because they only improve the selection of back ends.
//
// Updates are sent in batches. A node sends its own updates to the relay of its zone, which
// relays the updates that it receives to the other nodes of the zone and to the relays of the
// other zones. So each update is sent to each other zone only once, and a node receives few
// messages even if there are many nodes.
//
// Relayer, SnapshotClient and SnapshotServer are state machines: they do no I/O, read no
// clock, and must not be used concurrently. OutgoingUpdates collects the updates of this node, and
// SnapshotExchange connects a SnapshotClient and a SnapshotServer to the node's index; they
// read no clock either, but may be used concurrently.
package gossip

import (
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stage is the purpose of a batch: a step of the relaying of updates or of the transfer of a
// snapshot.
type Stage uint8

// The stages of a batch.
const (
	// NodeToRelay batches go from a node to the relay of its zone.
	NodeToRelay Stage = iota + 1
	// RelayToRelay batches go from a relay to the relays of other zones.
	RelayToRelay
	// RelayToNodes batches go from a relay to the nodes of its zone.
	RelayToNodes
	// SnapshotRequest batches go from a node that has started to a peer and request a
	// snapshot, see SnapshotClient.
	SnapshotRequest
	// SnapshotChunk batches contain a part of the requested snapshot, and a SnapshotEnd
	// batch contains the last part. These parts are unrelated to the chunks of prompts.
	SnapshotChunk
	SnapshotEnd
)

// Direct reports whether batches of the stage belong to the transfer of a snapshot. They are
// exchanged directly between two nodes and are not relayed.
func (s Stage) Direct() bool { return s >= SnapshotRequest && s <= SnapshotEnd }

// Batch contains the updates of one or more nodes.
type Batch struct {
	Stage   Stage
	Updates []Update
}

// Outbound is a batch to be sent to other nodes.
type Outbound struct {
	To    []member.Info
	Batch Batch
}

// Update is what one node reports of its traffic at one time.
type Update struct {
	// Node is the node that the update is from.
	Node member.ID
	// Loads are the loads that the node's own requests put on replicas.
	Loads      []kvrouter.AddressLoad
	Dispatches []Dispatch
	// Reports are the reports about cached chunks that the node has read from back ends
	// on behalf of all nodes.
	Reports       []Report
	GoneInstances []GoneInstance
	// Outcomes are the outcomes of the node's attempts at back ends that failed some of
	// them.
	Outcomes []outlier.Report
}

// Dispatch reports that a request was sent to a replica. If the replica saves the chunks to a
// store, a second Dispatch reports the store.
type Dispatch struct {
	// Address is the address of the replica or store.
	Address string
	// Links identify the prompt's chunks in the index.
	Links []prefixindex.Link
}

// Report is a page of the reports of a replica or store.
type Report struct {
	Address string
	Feed    cachefeed.Position
	// Complete reports whether the changes list all chunks that the back end caches.
	Complete bool
	Changes  []Change
}

// ChunkChanges converts the changes to the router's type.
func (r *Report) ChunkChanges() []cachefeed.ChunkChange {
	return lo.Map(r.Changes, func(change Change, _ int) cachefeed.ChunkChange {
		return cachefeed.ChunkChange{
			Sequence: change.Sequence,
			Hash:     change.Name,
			Tokens:   change.Tokens,
			Removed:  change.Removed,
		}
	})
}

// Change is a change of how much of a chunk a replica or store caches.
type Change struct {
	// Sequence is the number of the change; 0 if unknown.
	Sequence uint64
	// Name identifies the chunk in the index.
	Name prefixindex.ChainHash
	// Tokens is the number of tokens of the chunk that are cached after the change.
	Tokens  uint32
	Removed bool
}

// GoneInstance reports that an incarnation of a back end is no longer at its address, although
// control state may still list it. This is known from a response of the back end that is at
// the address now.
type GoneInstance struct {
	Address  string
	Instance string
}

// Empty reports whether the update is empty.
func (u *Update) Empty() bool {
	return len(u.Loads) == 0 && len(u.Dispatches) == 0 && len(u.Reports) == 0 &&
		len(u.GoneInstances) == 0 && len(u.Outcomes) == 0
}
