package shards

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Proposal is a command of this node, as leader, that a node waits for until it is
// applied.
type Proposal struct {
	// term is that of the leadership in which the command was appended.
	term uint64
	// From is the node that waits, and Message what it asked for.
	From    member.ID
	Message protocol.Message
}

// HasProposal reports whether a proposal of the present leadership waits to be
// applied. One of an earlier leadership may have been lost for good.
func (s *Shard) HasProposal(matches func(Proposal) bool) bool {
	term := s.Term()
	for _, open := range s.proposals {
		if open.term == term && matches(open) {
			return true
		}
	}
	return false
}

// Propose appends an encoded command that a node waits for. If this node does not lead
// the shard any more the command is dropped, and the node asks again.
func (s *Shard) Propose(now time.Duration, payload []byte, proposed Proposal) {
	index, err := s.group.Propose(now, payload)
	if err != nil {
		return
	}
	proposed.term = s.Term()
	s.proposals[index] = proposed
	s.Process()
}

// ProposeCommand encodes and appends a command that nobody waits for.
func (s *Shard) ProposeCommand(now time.Duration, command *controlpb.Command) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		s.badEntries++
		return
	}
	if _, err := s.group.Propose(now, payload); err != nil {
		// Leadership was lost; the next leader decides anew.
		return
	}
	s.Process()
}

// takeProposal ends the proposal at an index and returns it, or nil if there is none or the
// term has changed since it was appended: another leader's entry may stand at the index
// then. Its sender asks again.
func (s *Shard) takeProposal(index uint64) *Proposal {
	open, found := s.proposals[index]
	if !found {
		return nil
	}
	delete(s.proposals, index)
	if s.Term() != open.term {
		return nil
	}
	return &open
}
