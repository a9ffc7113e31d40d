package hollow

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// kind is a sort of message between nodes.
type kind int

// The kinds, in the order of the report.
const (
	kindJoin kind = iota
	kindJoinReply
	kindMemberHeartbeat
	kindMemberHeartbeatReply
	kindProbe
	kindNews
	kindBuckets
	kindSummary
	kindMissing
	kindRelayUpdate
	kindRelayDigest
	kindRelayAcknowledge
	kindGroupHeartbeat
	kindGroupHeartbeatReply
	kindAppend
	kindAppendReply
	kindSnapshot
	kindPromise
	kindOrder
	kindRegister
	kindConfirm
	kindAskConfirm
	kindOther
	kindCount
)

var kindNames = [kindCount]string{
	kindJoin:                 "membership join",
	kindJoinReply:            "membership join reply",
	kindMemberHeartbeat:      "membership heartbeat",
	kindMemberHeartbeatReply: "membership heartbeat reply",
	kindProbe:                "membership probe",
	kindNews:                 "membership news",
	kindBuckets:              "membership digests by range",
	kindSummary:              "membership summary",
	kindMissing:              "membership records and wishes",
	kindRelayUpdate:          "relay update",
	kindRelayDigest:          "relay digest",
	kindRelayAcknowledge:     "relay acknowledge",
	kindGroupHeartbeat:       "replication heartbeat",
	kindGroupHeartbeatReply:  "replication heartbeat reply",
	kindAppend:               "replication append",
	kindAppendReply:          "replication append reply",
	kindSnapshot:             "replication snapshot",
	kindPromise:              "replication promise",
	kindOrder:                "control order",
	kindRegister:             "control register",
	kindConfirm:              "control confirm",
	kindAskConfirm:           "control ask confirm",
	kindOther:                "other",
}

// kindOf reads the kind of a frame that this process has encoded, without
// decoding all of it.
func kindOf(frame []byte) kind {
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
	return kindOther
}

func membershipKind(message *fb.Membership) kind {
	switch membership.MessageType(message.Type()) {
	case membership.MessageJoin:
		return kindJoin
	case membership.MessageJoinReply:
		return kindJoinReply
	case membership.MessageHeartbeat:
		return kindMemberHeartbeat
	case membership.MessageHeartbeatReply:
		return kindMemberHeartbeatReply
	case membership.MessageGossip:
		return gossipKind(message)
	default:
		return kindOther
	}
}

func gossipKind(message *fb.Membership) kind {
	switch {
	case message.BucketsLength() > 0:
		return kindBuckets
	case message.Covered() != 0:
		return kindSummary
	case message.WantedLength() > 0:
		return kindMissing
	case message.RowsLength() == 0:
		return kindProbe
	default:
		return kindNews
	}
}

func relayKind(message relaytree.MessageType) kind {
	switch message {
	case relaytree.MessageUpdate:
		return kindRelayUpdate
	case relaytree.MessageDigest:
		return kindRelayDigest
	case relaytree.MessageAcknowledge:
		return kindRelayAcknowledge
	default:
		return kindOther
	}
}

func replicationKind(message replication.MessageType) kind {
	switch message {
	case replication.MessageHeartbeat:
		return kindGroupHeartbeat
	case replication.MessageHeartbeatReply:
		return kindGroupHeartbeatReply
	case replication.MessageAppend:
		return kindAppend
	case replication.MessageAppendReply:
		return kindAppendReply
	case replication.MessageSnapshot:
		return kindSnapshot
	case replication.MessagePromiseRequest, replication.MessagePromiseReply:
		return kindPromise
	default:
		return kindOther
	}
}

func controlKind(message protocol.MessageType) kind {
	switch message {
	case protocol.MessageOrder, protocol.MessageOrderReply:
		return kindOrder
	case protocol.MessageRegister, protocol.MessageRegisterReply:
		return kindRegister
	case protocol.MessageAskConfirm:
		return kindAskConfirm
	case protocol.MessageConfirm:
		return kindConfirm
	default:
		return kindOther
	}
}
