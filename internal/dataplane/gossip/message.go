// Package gossip holds what nodes tell each other of their traffic: the load
// that each has on the replicas, which prompts it sent where, what replicas and
// stores reported to it of the parts that they keep, and which replicas it found
// to be gone, and how its requests went at replicas that fail some. All of it may be lost,
// late or doubled without harm: it only makes the choice of replicas better.
//
// News travels in batches. A node hands its own to the relay of its zone, which
// passes what it gathered on to the other nodes of the zone and to the relays of
// the other zones. So each piece of news crosses into another zone once, and a
// node gets few messages however many nodes there are. Exchange is the state
// machine of this; it does no I/O and reads no clock.
package gossip

import (
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stage tells how far a batch has come.
type Stage uint8

// The stages of a batch.
const (
	// NodeToRelay batches go from a node to the relay of its zone.
	NodeToRelay Stage = iota + 1
	// RelayToRelay batches go from a relay to the relays of other zones.
	RelayToRelay
	// RelayToNodes batches go from a relay to the nodes of its zone.
	RelayToNodes
	// SnapshotRequest batches go from a node that has started to one that it asks for
	// what it knows, see Adoption.
	SnapshotRequest
	// SnapshotChunk batches carry a part of that back, and Answered ones the rest.
	SnapshotChunk
	SnapshotEnd
)

// Direct tells whether a batch is part of an Adoption: it is for the node that
// gets it alone.
func (s Stage) Direct() bool { return s >= SnapshotRequest && s <= SnapshotEnd }

// Batch carries the news of several nodes.
type Batch struct {
	Stage   Stage
	Updates []Update
}

// Update is what one node reports of its traffic at one time.
type Update struct {
	// Node is whose news it is.
	Node       member.ID
	Loads      []kvrouter.AddressLoad
	Dispatches []Dispatch
	Reports    []Report
	Denials    []Denial
	Outcomes   []outlier.Report
}

// Dispatch tells of a request that was sent to a replica.
type Dispatch struct {
	// Address is that of the replica, and of the store that its parts are saved
	// to in a Dispatch of their own.
	Address string
	// Links are the prompt's parts as the index names them.
	Links []prefixindex.Link
}

// Report hands on a page of a replica's or store's reports.
type Report struct {
	Address string
	Feed    kvrouter.FeedPosition
	// Complete tells that the changes are all that is kept, instead of changes.
	Complete bool
	Changes  []Change
}

// Change is a change of what a replica or store keeps of one part.
type Change struct {
	// Sequence is the number of the change; 0 when it is not known.
	Sequence uint64
	// Name is that of the part in the index.
	Name prefixindex.ChainHash
	// Tokens is what is kept now.
	Tokens  uint32
	Removed bool
}

// Denial tells that an incarnation which a list may still name is gone from its
// address: what answers there has said so.
type Denial struct {
	Address  string
	Instance string
}

// Empty tells whether the news says nothing.
func (n *Update) Empty() bool {
	return len(n.Loads) == 0 && len(n.Dispatches) == 0 && len(n.Reports) == 0 &&
		len(n.Denials) == 0 && len(n.Outcomes) == 0
}
