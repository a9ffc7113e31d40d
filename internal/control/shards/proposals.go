package shards

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Proposal is a command that this node appended to the log as the leader, on behalf of a
// node that waits until the command is applied.
type Proposal struct {
	// term is the term in which the command was appended.
	term uint64
	// From is the node that waits, and Message its request.
	From    member.ID
	Message protocol.Message
}

// HasProposal reports whether a matching proposal of the present term waits to be applied.
// It ignores proposals of earlier terms, as a later leader may have replaced their entries.
func (s *Shard) HasProposal(matches func(Proposal) bool) bool {
	term := s.Term()
	for _, pending := range s.proposals {
		if pending.term == term && matches(pending) {
			return true
		}
	}
	return false
}

// Propose appends an encoded command that a node waits for. If the group refuses it, as
// when this node no longer leads the shard, the command is dropped, and the waiting node
// has to repeat its request.
func (s *Shard) Propose(now time.Duration, payload []byte, proposed Proposal) {
	index, err := s.group.Propose(now, payload)
	if err != nil {
		return
	}
	proposed.term = s.Term()
	s.proposals[index] = proposed
	s.Process()
}

// ProposeCommand encodes and appends a command that no node waits for.
func (s *Shard) ProposeCommand(now time.Duration, command *controlpb.Command) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		s.badEntries++
		return
	}
	if _, err := s.group.Propose(now, payload); err != nil {
		// This node no longer leads the shard, or too many entries are uncommitted. The
		// leader derives the command again from a later state.
		return
	}
	s.Process()
}

// takeProposal removes and returns the proposal at an index. It returns nil if there is
// none, or if the term has changed since the command was appended: the entry at the index
// may be another leader's then, and the waiting node has to repeat its request.
func (s *Shard) takeProposal(index uint64) *Proposal {
	pending, found := s.proposals[index]
	if !found {
		return nil
	}
	delete(s.proposals, index)
	if s.Term() != pending.term {
		return nil
	}
	return &pending
}
