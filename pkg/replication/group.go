package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Group is one member's state machine of a replica group. Each concern keeps its
// state in a type of its own, see the package comment. It is not safe for
// concurrent use.
type Group struct {
	cfg Config
	// now is the newest instant that the driver has passed in.
	now time.Duration
	// hard is the present term and vote. They bind this member at once, and are
	// durable before any message that tells of them leaves.
	hard HardState
	log  *replicaLog
	role Role
	// leader is the member that is known to lead hard.Term, or empty.
	leader member.ID
	peers  peerSet

	timer    electionTimer
	campaign campaign
	recovery quorumRecovery
	// leadership is zero unless role is RoleLeader.
	leadership leadership
	reads      readQueue
	output     output
}

// New returns the state machine of a member with its durable state; the zero
// Restored is that of an empty disk. It fails with a *ConfigError or a
// *RestoredError.
func New(cfg Config, restored Restored, now time.Duration) (*Group, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	if err := restored.check(); err != nil {
		return nil, err
	}
	g := &Group{
		cfg:  cfg,
		now:  now,
		hard: restored.HardState,
		log:  restoreLog(restored, foundingSlots(cfg.Founders)),
	}
	g.output.persisted = g.hard
	g.role = g.followerRole()
	g.timer.waitFrom = now
	return g, nil
}

// Tick advances the time. The driver calls it several times per HeartbeatEvery.
func (g *Group) Tick(now time.Duration) {
	g.advanceClock(now)
	switch g.role {
	case RoleLeader:
		g.tickLeader()
	case RoleFollower, RoleCandidate:
		if !g.tickRecovery() {
			g.tickElection()
		}
	case RoleLearner:
		g.tickRecovery()
	}
}

// Step handles a message from another member, whether that member is known here
// or not: a new voter may be heard before the entry or the gossip that tells of
// it. What a member without a vote sends binds nobody. Messages may be lost,
// duplicated, delayed and reordered. A *MessageError means that the message was
// dropped. The clock must be read after the message arrived: the wait until the
// command lease of an earlier term has expired counts from there.
func (g *Group) Step(now time.Duration, from member.ID, m Message) error {
	g.advanceClock(now)
	if from == g.cfg.Self || from == "" {
		return &MessageError{From: from, Type: m.Type, Message: "the sender is not another member: check that no two members run under one ID"}
	}
	switch m.Type {
	case MessageVoteRequest:
		g.stepVoteRequest(from, m)
		return nil
	case MessageVoteReply:
		g.stepVoteReply(from, m)
		return nil
	case MessageRecoveryRequest:
		g.stepRecoveryRequest(from, m)
		return nil
	case MessageRecoveryReply:
		g.stepRecoveryReply(from, m)
		return nil
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return g.stepFromLeader(from, m)
	case MessageAppendReply, MessageHeartbeatReply:
		return g.stepToLeader(from, m)
	default:
		return &MessageError{From: from, Type: m.Type, Message: "unknown type: run the same version on all members"}
	}
}

// advanceClock keeps the time from running backwards.
func (g *Group) advanceClock(now time.Duration) {
	g.now = max(g.now, now)
}

// self is this member in its present incarnation.
func (g *Group) self() Voter {
	return Voter{ID: g.cfg.Self, Incarnation: g.cfg.Incarnation}
}

// slots returns the group that is in effect.
func (g *Group) slots() slots {
	return g.log.groups.latest().slots
}

// followerRole is the role of a member that neither leads nor campaigns. Only a
// voter campaigns, as only it can win by the group that it knows.
func (g *Group) followerRole() Role {
	if g.cfg.Learner || !g.slots().votes(g.self()) {
		return RoleLearner
	}
	return RoleFollower
}

// updateRole follows a change of the group that entries of the leader made.
func (g *Group) updateRole() {
	if g.role == RoleFollower || g.role == RoleLearner {
		g.role = g.followerRole()
	}
}

// becomeFollower makes the member a follower (or learner) of term. The leader may
// be unknown yet. It ends a campaign and a leadership.
func (g *Group) becomeFollower(term uint64, leader member.ID) {
	if term > g.hard.Term {
		g.hard.Term = term
		g.hard.VotedFor = ""
		g.hard.VotedForIncarnation = 0
	}
	if g.role == RoleLeader {
		g.timer.waitFrom = g.now
		g.reads.failWaiting()
	}
	g.role = g.followerRole()
	g.leader = leader
	g.leadership = leadership{}
	g.campaign = campaign{}
	g.timer.candidateBehind = false
}

// voteForSelf makes this member the one that the present term is granted to. The
// vote counts once it is durable, see acknowledgeSelf.
func (g *Group) voteForSelf() {
	g.hard.VotedFor = g.cfg.Self
	g.hard.VotedForIncarnation = g.cfg.Incarnation
}

// recognizes tells whether the member has a slot or is a peer.
func (g *Group) recognizes(id member.ID) bool {
	return g.slots().position(id) >= 0 || g.peers.find(id) != nil
}

// otherMembers returns the other members: those with a slot, then the peers
// without one.
func (g *Group) otherMembers() []member.ID {
	group := g.slots()
	others := make([]member.ID, 0, len(group)+len(g.peers))
	for _, slot := range group {
		if slot.ID != g.cfg.Self {
			others = append(others, slot.ID)
		}
	}
	for _, peer := range g.peers {
		if group.position(peer.ID) < 0 {
			others = append(others, peer.ID)
		}
	}
	return others
}

// send queues a message for the next Ready.
func (g *Group) send(to member.ID, m Message) {
	m.Incarnation = g.cfg.Incarnation
	g.output.queue(to, m)
}
