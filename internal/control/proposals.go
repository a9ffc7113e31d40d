package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// proposal is a command of this node, as leader, that waits to be applied.
type proposal struct {
	term    uint64
	from    member.ID
	request uint64
	message protocol.Message
}

// hasProposal tells whether a proposal of the present leadership waits to be
// applied. One of an earlier leadership may have been lost for good.
func (s *shard) hasProposal(matches func(proposal) bool) bool {
	term := s.group.Status().Term
	for _, open := range s.proposals {
		if open.term == term && matches(open) {
			return true
		}
	}
	return false
}

// propose appends a command to a shard that this node leads.
func (m *Machine) propose(hosted *shard, payload []byte, open proposal) {
	index, err := hosted.group.Propose(m.now, payload)
	if err != nil {
		return
	}
	open.term = hosted.group.Status().Term
	hosted.proposals[index] = open
	m.processReady(hosted)
}

// proposeCommand encodes and appends a command that nobody waits for.
func (m *Machine) proposeCommand(hosted *shard, command *controlpb.Command) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		hosted.badEntries++
		return
	}
	if _, err := hosted.group.Propose(m.now, payload); err != nil {
		// Leadership was lost; the next leader decides anew.
		return
	}
	m.processReady(hosted)
}

// afterApply answers whoever waits for the command at an index. An entry of
// another term means that the proposal was lost to a later leader; its sender
// asks again.
func (m *Machine) afterApply(hosted *shard, index uint64, command *controlpb.Command, answer *controlpb.Answer) {
	if registered := command.GetRegisterNode(); registered != nil {
		m.confirmations.forgetOlder(hosted.id, member.ID(registered.GetNode()), member.Incarnation(registered.GetIncarnation()))
	}
	if command.GetSetReplicas() != nil {
		m.rollout.RunSoon(m.now)
	}
	open, found := hosted.proposals[index]
	if !found {
		return
	}
	delete(hosted.proposals, index)
	if hosted.group.Status().Term != open.term {
		return
	}
	switch {
	case command.GetOrder() != nil:
		m.changeApplied(open, answer)
	case command.GetRegisterNode() != nil:
		m.registrationApplied(hosted, open)
	}
}

// receiveControl handles a control message of a node, or of this node itself.
func (m *Machine) receiveControl(from member.ID, message protocol.Message) {
	switch message.Type {
	case protocol.MessageChange:
		m.receiveChange(from, message)
	case protocol.MessageReadSource, protocol.MessageReadRevision:
		m.receiveRead(from, message)
	case protocol.MessageChangeReply, protocol.MessageReadSourceReply, protocol.MessageReadRevisionReply:
		m.receiveReply(from, message)
	case protocol.MessageRegister:
		m.receiveRegister(from, message)
	case protocol.MessageRegisterReply:
		m.receiveRegisterReply(from, message)
	case protocol.MessageWitnessRequest:
		m.receiveWitnessRequest(from, message)
	case protocol.MessageWitnessReply:
		m.receiveWitnessReply(from, message)
	case protocol.MessageConfirm:
		m.confirmations.record(from, message)
		m.rollout.Wake(m.now)
	case protocol.MessageConfirmRequest:
		m.receiveConfirmationRequest(from, message)
	case protocol.MessageEndpoints:
		m.receiveEndpoints(from, message.Payload, listing.DecodeReading)
	case protocol.MessageEndpointsRequest:
		m.receiveEndpoints(from, message.Payload, listing.DecodeRequest)
	}
}

// requestBits leave room for the questions of one process. The numbers of
// another process of the same node are others, so that no late answer to a
// question of an earlier life is taken for the answer to a new one.
const requestBits = 20

// nextRequest numbers this node's questions.
func (m *Machine) nextRequest() uint64 {
	m.lastRequest++
	return m.lastRequest
}

// knownLeader returns the leader of a shard as far as this node knows.
func (m *Machine) knownLeader(shardID uint32) member.ID {
	if hosted := m.shards[shardID]; hosted != nil {
		return hosted.group.Status().Leader
	}
	return m.lastLeaders[shardID]
}

// updateLeaderHint keeps a hint. A node that refuses is not the leader itself.
func (m *Machine) updateLeaderHint(shardID uint32, redirectedBy, leader member.ID) {
	switch {
	case leader != "":
		m.lastLeaders[shardID] = leader
	case m.lastLeaders[shardID] == redirectedBy:
		delete(m.lastLeaders, shardID)
	}
}

// leaderGuess returns the node that most likely leads a shard: the known leader if
// it is alive, else the first live member in the agreed order.
func (m *Machine) leaderGuess(shardID uint32) member.ID {
	if leader := m.knownLeader(shardID); leader != "" && m.reachable(leader) {
		return leader
	}
	return m.firstLive(shardID)
}

// firstLive returns the first live member of a shard's group.
func (m *Machine) firstLive(shardID uint32) member.ID {
	for _, id := range m.groupOf(shardID) {
		if m.reachable(id) {
			return id
		}
	}
	return ""
}

// nextLeaderGuess returns the live group member after one that did not answer.
func (m *Machine) nextLeaderGuess(shardID uint32, previous member.ID) member.ID {
	group := m.groupOf(shardID)
	start := 0
	for position, id := range group {
		if id == previous {
			start = position + 1
		}
	}
	for offset := range group {
		id := group[(start+offset)%len(group)]
		if m.reachable(id) {
			return id
		}
	}
	return ""
}

// reachable tells whether a node is this one or is alive in the table.
func (m *Machine) reachable(id member.ID) bool {
	return id == m.config.Self.ID || m.members.Alive(id)
}
