package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Group is the replication state machine of one member of a replica group. It passes
// messages, time and decisions between the types that each own the state of one concern, see
// the package comment. It is not safe for concurrent use.
type Group struct {
	*memberState
	election election
	follower follower
	recovery quorumRecovery
	// leadership is nil unless this member leads.
	leadership *leadership
	// reads is kept when a leadership ends, so that the waiting reads can be reported as
	// failed.
	reads readQueue
	// outstanding is the Ready for which Advance has not been called yet.
	outstanding *Ready
}

// New returns a member with the given durable state; the zero Restored is that of an empty
// disk. It fails with a *ConfigError or a *RestoredError.
func New(cfg Config, restored Restored, now time.Duration) (*Group, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	if err := restored.check(); err != nil {
		return nil, err
	}
	state := &memberState{
		cfg:       cfg,
		now:       now,
		hardState: newTermState(restored.HardState),
		log:       restoreLog(restored, foundingSlots(cfg.Founders)),
	}
	g := &Group{
		memberState: state,
		election:    election{memberState: state},
		follower:    follower{memberState: state},
	}
	g.recovery = quorumRecovery{memberState: state, election: &g.election}
	g.election.timer.restart(now)
	return g, nil
}

// SetPeers sets the other members with a disk that are known at present, for instance from
// gossip. The leader sends the log to all of them: those without a vote follow as learners,
// and are given a vote when they have caught up. The safety of the protocol does not depend
// on this list.
func (g *Group) SetPeers(now time.Duration, peers []Peer) {
	g.advanceClock(now)
	g.peers = newPeerSet(g.cfg.Self, peers)
	if g.leadership != nil {
		g.leadership.trackMembers()
	}
}

// SetSuspected sets the members that are assumed to be down, for instance by a failure
// detector. It shortens the time that later members in slot order wait before they campaign.
// The safety of the protocol does not depend on this list.
func (g *Group) SetSuspected(suspected []member.ID) {
	g.election.timer.suspected = slices.Clone(suspected)
}

// Tick advances the time. The driver calls it several times per HeartbeatEvery.
func (g *Group) Tick(now time.Duration) {
	g.advanceClock(now)
	switch g.election.role() {
	case RoleLeader:
		if !g.leadership.hasLiveMajority() {
			g.becomeFollower(g.hardState.Term, "")
			return
		}
		g.leadership.tick()
	case RoleFollower, RoleCandidate:
		if !g.recovery.tick() {
			g.election.tick()
		}
	case RoleLearner:
		g.recovery.tick()
	}
}

// Step handles a message from another member. The sender may be unknown here, as a message of
// a new voter may arrive before the entry or the gossip that announces the voter. The votes
// and acknowledgements of a member without a vote don't count. Messages may be lost,
// duplicated, delayed and reordered. A *MessageError means that the message was dropped. The
// driver must read the clock after the message has arrived, because the new leader's wait for
// the expiry of earlier command leases starts at now.
func (g *Group) Step(now time.Duration, from member.ID, m Message) error {
	g.advanceClock(now)
	if from == g.cfg.Self || from == "" {
		return &MessageError{From: from, Type: m.Type, Message: "the sender is not another member: check that no two members run under one ID"}
	}
	if m.Term > g.hardState.Term && g.adoptsTerm(from, m) {
		g.becomeFollower(m.Term, "")
	}
	switch m.Type {
	case MessageVoteRequest:
		g.election.stepVoteRequest(from, m)
		return nil
	case MessageVoteReply:
		if g.election.stepVoteReply(from, m) {
			g.becomeLeader()
		}
		return nil
	case MessageRecoveryRequest:
		g.recovery.stepRequest(from, m)
		return nil
	case MessageRecoveryReply:
		g.recovery.stepReply(from, m)
		return nil
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return g.stepFromLeader(from, m)
	case MessageAppendReply, MessageHeartbeatReply:
		if g.leadership == nil || m.Term < g.hardState.Term || !g.recognizes(from) {
			return nil
		}
		return g.leadership.stepReply(from, m)
	default:
		return &MessageError{From: from, Type: m.Type, Message: "unknown type: run the same version on all members"}
	}
}

// adoptsTerm reports whether this member adopts the newer term of the message. A candidate's
// term is ignored by a permanent learner, and by a member that has a live leader, unless that
// leader asked for the campaign: a candidate that was partitioned must not depose a working
// leader. A recovery term is adopted only by a member that can grant it. The term of a known
// member's reply is adopted in any role, as this member asked for the reply. Messages of a
// leader are checked first and adopted in stepFromLeader.
func (g *Group) adoptsTerm(from member.ID, m Message) bool {
	switch m.Type {
	case MessageVoteRequest, MessageRecoveryRequest:
		if m.PreVote || g.cfg.Learner || (g.election.hasLiveLeader() && !m.Transfer) {
			return false
		}
		return m.Type == MessageVoteRequest || g.log.isUpToDate(m.Index, m.IndexTerm)
	case MessageVoteReply:
		// A granted pre-vote carries a term that no member has begun.
		return m.Reject && g.recognizes(from)
	case MessageAppendReply, MessageHeartbeatReply:
		return g.recognizes(from)
	default:
		return false
	}
}

// stepFromLeader handles the message types that only the leader of a term sends.
func (g *Group) stepFromLeader(from member.ID, m Message) error {
	if m.Term < g.hardState.Term {
		g.follower.rejectStaleLeader(from, m)
		return nil
	}
	// Check first, so that an invalid message changes nothing.
	if err := g.election.checkLeader(from, m); err != nil {
		return err
	}
	if err := g.follower.check(from, m); err != nil {
		return err
	}
	if m.Term > g.hardState.Term || g.election.leader == "" {
		g.becomeFollower(m.Term, from)
	}
	g.election.timer.heardLeader(from, g.now)
	switch {
	case m.Type == MessageAppend:
		g.follower.stepAppend(from, m)
	case m.Type == MessageSnapshot:
		g.follower.stepSnapshot(from, m)
	case m.Transfer && g.election.role() == RoleFollower:
		g.election.startCampaign(true)
	default:
		g.follower.stepHeartbeat(from, m)
	}
	return nil
}

// becomeFollower makes the member a follower (or learner) of term, and ends its campaign or
// leadership. An empty leader means that the leader is unknown.
func (g *Group) becomeFollower(term uint64, leader member.ID) {
	if g.election.leads() {
		g.election.timer.restart(g.now)
		g.reads.failWaiting()
		g.leadership = nil
	}
	g.election.follow(term, leader)
}

// becomeLeader makes this member the leader of the present term, which was granted by a
// majority, or by all members in a quorum recovery.
func (g *Group) becomeLeader() {
	g.election.follow(g.hardState.Term, g.cfg.Self)
	g.election.timer.lostLeader = ""
	g.leadership = newLeadership(g.memberState, &g.reads)
}
