// Package gossip holds the updates by which nodes inform each other of their traffic: the
// load that each has on the replicas, which prompts it sent where, which chunks replicas
// and stores reported to it as cached or evicted, which replicas it found gone, and the
// outcomes of its requests at replicas that fail some. Updates may be lost, late or
// duplicated without harm: they only improve the choice of replicas.
//
// Updates travel in batches. A node sends its own to the relay of its zone, which relays
// what it gets to the other nodes of the zone and to the relays of the other zones. So
// each update crosses into another zone once, and a node gets few messages however many
// nodes there are.
//
// Relayer, SnapshotClient and SnapshotServer are state machines: they do no I/O, read no
// clock, and must not be used concurrently. Outgoing collects the updates of this node,
// and SnapshotExchange joins client and server to the node's index; they read no clock
// either, and may be used concurrently.
package gossip

import (
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stage is what a batch is for: a step of the relaying of updates, or one of the transfer of a
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
	// SnapshotRequest batches go from a node that has started to a peer, see
	// SnapshotClient.
	SnapshotRequest
	// SnapshotChunk batches carry a piece of the snapshot back, and a SnapshotEnd batch the
	// last piece. The pieces have nothing to do with the chunks of prompts.
	SnapshotChunk
	SnapshotEnd
)

// Direct reports whether a batch belongs to a snapshot: it is not relayed.
func (s Stage) Direct() bool { return s >= SnapshotRequest && s <= SnapshotEnd }

// Batch carries the updates of several nodes.
type Batch struct {
	Stage   Stage
	Updates []Update
}

// Outbound is a batch for other nodes.
type Outbound struct {
	To    []member.Info
	Batch Batch
}

// Update is what one node reports of its traffic at one time.
type Update struct {
	// Node is the node that the update is from.
	Node member.ID
	// Loads are those that the node's own requests put on replicas.
	Loads      []kvrouter.AddressLoad
	Dispatches []Dispatch
	// Reports are of the cached chunks of back ends that the node reads for all.
	Reports       []Report
	GoneInstances []GoneInstance
	// Outcomes are those of the node's attempts at back ends that fail some.
	Outcomes []outlier.Report
}

// Dispatch reports a request that was sent to a replica.
type Dispatch struct {
	// Address is that of the replica, and in a Dispatch of its own that of the store to
	// which the chunks are saved.
	Address string
	// Links are the prompt's chunks as the index names them.
	Links []prefixindex.Link
}

// Report is a page of a replica's or store's reports.
type Report struct {
	Address string
	Feed    cachefeed.Position
	// Complete reports whether the changes are everything that is cached.
	Complete bool
	Changes  []Change
}

// ChunkChanges returns the changes as the router takes them.
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
	// Sequence is the number of the change; 0 when it is not known.
	Sequence uint64
	// Name is that of the chunk in the index.
	Name prefixindex.ChainHash
	// Tokens is how much of the chunk is cached now.
	Tokens  uint32
	Removed bool
}

// GoneInstance reports that an incarnation which may still be listed is gone from its address:
// the back end there has said so.
type GoneInstance struct {
	Address  string
	Instance string
}

// Empty reports whether the update is empty.
func (u *Update) Empty() bool {
	return len(u.Loads) == 0 && len(u.Dispatches) == 0 && len(u.Reports) == 0 &&
		len(u.GoneInstances) == 0 && len(u.Outcomes) == 0
}
