package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// MessageKind classifies messages between nodes for reports and metrics, more finely
// than their types do.
type MessageKind int

// The kinds, in the order of reports.
const (
	KindJoin MessageKind = iota
	KindJoinReply
	KindMemberHeartbeat
	KindMemberHeartbeatReply
	KindProbe
	KindRecordUpdate
	KindRangeDigests
	KindSummary
	KindRecordRequest
	KindRelayUpdate
	KindRelayDigest
	KindRelayAcknowledge
	KindGroupHeartbeat
	KindGroupHeartbeatReply
	KindAppend
	KindAppendReply
	KindSnapshot
	KindVote
	KindChange
	KindRegister
	KindConfirm
	KindConfirmRequest
	KindOther
	KindTrafficNodeToRelay
	KindTrafficRelayToRelay
	KindTrafficRelayToNodes
	KindTrafficSnapshot
	KindCount
)

// String returns the name of a kind in reports and metrics. The names are published, so
// they must not change.
func (k MessageKind) String() string {
	if k < 0 || k >= KindCount {
		return kindNames[KindOther]
	}
	return kindNames[k]
}

var kindNames = [KindCount]string{
	KindJoin:                 "membership join",
	KindJoinReply:            "membership join reply",
	KindMemberHeartbeat:      "membership heartbeat",
	KindMemberHeartbeatReply: "membership heartbeat reply",
	KindProbe:                "membership probe",
	KindRecordUpdate:         "membership news",
	KindRangeDigests:         "membership digests by range",
	KindSummary:              "membership summary",
	KindRecordRequest:        "membership records and wishes",
	KindRelayUpdate:          "relay update",
	KindRelayDigest:          "relay digest",
	KindRelayAcknowledge:     "relay acknowledge",
	KindGroupHeartbeat:       "replication heartbeat",
	KindGroupHeartbeatReply:  "replication heartbeat reply",
	KindAppend:               "replication append",
	KindAppendReply:          "replication append reply",
	KindSnapshot:             "replication snapshot",
	KindVote:                 "replication promise",
	KindChange:               "control order",
	KindRegister:             "control register",
	KindConfirm:              "control confirm",
	KindConfirmRequest:       "control ask confirm",
	KindOther:                "other",
	KindTrafficNodeToRelay:   "traffic news to the relay",
	KindTrafficRelayToRelay:  "traffic news between relays",
	KindTrafficRelayToNodes:  "traffic news from the relay",
	KindTrafficSnapshot:      "traffic news asked for",
}

// MessageKindOf returns the kind of a frame that this process has encoded, without
// decoding it. It panics on bytes that are not a frame.
func MessageKindOf(frame []byte) MessageKind {
	envelope := fb.GetRootAsEnvelope(frame, 0)
	if message := envelope.Membership(nil); message != nil {
		return membershipKind(message)
	}
	if message := envelope.Relay(nil); message != nil {
		return relayKind(relaytree.MessageType(message.Type()))
	}
	if message := envelope.Replication(nil); message != nil {
		return replicationKind(replication.MessageType(message.Type()))
	}
	if message := envelope.Control(nil); message != nil {
		return controlKind(protocol.MessageType(message.Type()))
	}
	if message := envelope.Traffic(nil); message != nil {
		return trafficKind(gossip.Stage(message.Stage()))
	}
	return KindOther
}

func membershipKind(message *fb.Membership) MessageKind {
	switch membership.MessageType(message.Type()) {
	case membership.MessageJoin:
		return KindJoin
	case membership.MessageJoinReply:
		return KindJoinReply
	case membership.MessageHeartbeat:
		return KindMemberHeartbeat
	case membership.MessageHeartbeatReply:
		return KindMemberHeartbeatReply
	case membership.MessageGossip:
		return membershipGossipKind(message)
	default:
		return KindOther
	}
}

// membershipGossipKind returns the kind of a gossip message, which is determined by the
// fields that the message contains.
func membershipGossipKind(message *fb.Membership) MessageKind {
	switch {
	case message.BucketsLength() > 0:
		return KindRangeDigests
	case message.Covered() != 0:
		return KindSummary
	case message.WantedLength() > 0:
		return KindRecordRequest
	case message.RowsLength() == 0:
		return KindProbe
	default:
		return KindRecordUpdate
	}
}

func relayKind(message relaytree.MessageType) MessageKind {
	switch message {
	case relaytree.MessageUpdate:
		return KindRelayUpdate
	case relaytree.MessageDigest:
		return KindRelayDigest
	case relaytree.MessageAcknowledge:
		return KindRelayAcknowledge
	default:
		return KindOther
	}
}

func replicationKind(message replication.MessageType) MessageKind {
	switch message {
	case replication.MessageHeartbeat:
		return KindGroupHeartbeat
	case replication.MessageHeartbeatReply:
		return KindGroupHeartbeatReply
	case replication.MessageAppend:
		return KindAppend
	case replication.MessageAppendReply:
		return KindAppendReply
	case replication.MessageSnapshot:
		return KindSnapshot
	case replication.MessageVoteRequest, replication.MessageVoteReply:
		return KindVote
	default:
		return KindOther
	}
}

func controlKind(message protocol.MessageType) MessageKind {
	switch message {
	case protocol.MessageChange, protocol.MessageChangeReply:
		return KindChange
	case protocol.MessageRegister, protocol.MessageRegisterReply:
		return KindRegister
	case protocol.MessageConfirmRequest:
		return KindConfirmRequest
	case protocol.MessageConfirm:
		return KindConfirm
	default:
		return KindOther
	}
}

// trafficKind returns the kind of a batch by its stage. All stages of a snapshot transfer
// are one kind.
func trafficKind(stage gossip.Stage) MessageKind {
	switch stage {
	case gossip.NodeToRelay:
		return KindTrafficNodeToRelay
	case gossip.RelayToRelay:
		return KindTrafficRelayToRelay
	case gossip.RelayToNodes:
		return KindTrafficRelayToNodes
	default:
		return KindTrafficSnapshot
	}
}
