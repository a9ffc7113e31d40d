package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// proposal is a command of this node, as leader, that waits to be applied.
type proposal struct {
	// term is that of the leadership in which the command was appended.
	term    uint64
	from    member.ID
	message protocol.Message
}

// hasProposal reports whether a proposal of the present leadership waits to be
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
		m.confirmations.ForgetOlder(hosted.id, member.ID(registered.GetNode()), member.Incarnation(registered.GetIncarnation()))
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
		m.leaderRequests.Applied(m.now, open.from, open.message.Request, answer)
	case command.GetRegisterNode() != nil:
		m.registrar.Applied(m.viewOf(hosted), open.from, open.message)
	}
}
