package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// shardHost implements shards.Host. It owns the writes that result from an input, and passes
// committed commands and finished reads on to the machines that wait for them.
type shardHost struct {
	clock  *clock
	outbox *outbox
	writes []StorageWrite

	shards         *hostedShards
	states         *stateRelay
	confirmations  *confirmation.Table
	registrar      *registration.Registrar
	leaderRequests *requests.Leader
	rollout        *rollout.Machine
}

// SendReplication implements shards.Host.
func (h *shardHost) SendReplication(to member.ID, shardID uint32, message replication.Message) {
	h.outbox.sendReplication(to, shardID, message)
}

// Write implements shards.Host.
func (h *shardHost) Write(write shards.Write) { h.writes = append(h.writes, write) }

// takeWrites returns the gathered writes and removes them.
func (h *shardHost) takeWrites() []StorageWrite {
	writes := h.writes
	h.writes = nil
	return writes
}

// Applied implements shards.Host.
func (h *shardHost) Applied(shard *shards.Shard, command *controlpb.Command, answer *controlpb.Answer, proposed *shards.Proposal) {
	switch change := command.GetCommand().(type) {
	case *controlpb.Command_RegisterNode:
		node := change.RegisterNode
		h.confirmations.ForgetOlder(shard.ID(), member.ID(node.GetNode()), member.Incarnation(node.GetIncarnation()))
		if proposed != nil {
			h.registrar.Applied(h.shards.bind(shard), proposed.From, proposed.Message)
		}
	case *controlpb.Command_SetReplicas:
		h.rollout.RunSoon(h.clock.now)
	case *controlpb.Command_Order:
		if proposed != nil {
			h.leaderRequests.Applied(h.clock.now, proposed.From, proposed.Message.Request, answer)
		}
	}
}

// ReadsFinished implements shards.Host. It answers the reads of the configuration that a
// quorum has confirmed.
func (h *shardHost) ReadsFinished(shard *shards.Shard, ready replication.Ready) {
	state, ok := shard.State().(*shardstate.Configuration)
	if !ok {
		return
	}
	if err := h.leaderRequests.FinishReads(state, ready); err != nil {
		shard.CountBadEntry()
	}
}

// Committed implements shards.Host.
func (h *shardHost) Committed(shard *shards.Shard) {
	h.states.publishCommitted(shard)
	if shard.ID() == ConfigurationShard {
		h.leaderRequests.Advance(h.shards.bind(shard))
	}
}
