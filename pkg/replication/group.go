package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Group is one member's state machine of a replica group. It passes messages, time and
// decisions between the types that each own the state of one concern, see the package
// comment. It is not safe for concurrent use.
type Group struct {
	*memberState
	election election
	follower follower
	recovery quorumRecovery
	// leadership is nil unless this member leads.
	leadership *leadership
	// reads outlive the leadership that they wait for.
	reads readQueue
	// outstanding is the Ready that Advance was not called for yet.
	outstanding *Ready
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

// SetPeers tells which members with a disk are known at present, for instance by
// gossip. The leader sends the log to all of them: those without a vote follow as
// learners, and are given one when they have caught up. It has no bearing on
// safety.
func (g *Group) SetPeers(now time.Duration, peers []Peer) {
	g.advanceClock(now)
	g.peers = newPeerSet(g.cfg.Self, peers)
	if g.leadership != nil {
		g.leadership.trackMembers()
	}
}

// SetSuspected tells which members are thought to be down, for instance by the
// membership. It shortens the wait of later members in the agreed order and has
// no bearing on safety.
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

// adoptsTerm tells whether this member goes on to the newer term of the message. A
// candidate's term does not bind a member that hears a live leader, unless that leader
// asked for the campaign: a member that was cut off must not depose a leader that
// works. A recovery term binds only who can grant it. The term of a reply binds a
// member that asked for the reply, whatever its role is by now. What a leader sends is
// checked first, see stepFromLeader.
func (g *Group) adoptsTerm(from member.ID, m Message) bool {
	switch m.Type {
	case MessageVoteRequest, MessageRecoveryRequest:
		if m.PreVote || g.cfg.Learner || (g.election.hasLiveLeader() && !m.Transfer) {
			return false
		}
		return m.Type == MessageVoteRequest || g.log.isUpToDate(m.Index, m.IndexTerm)
	case MessageVoteReply:
		// A grant of a pre-vote is in a term that nobody has begun.
		return m.Reject && g.recognizes(from)
	case MessageAppendReply, MessageHeartbeatReply:
		return g.recognizes(from)
	default:
		return false
	}
}

// stepFromLeader handles the messages that only the leader of their term sends.
func (g *Group) stepFromLeader(from member.ID, m Message) error {
	if m.Term < g.hardState.Term {
		g.follower.rejectStaleLeader(from, m)
		return nil
	}
	// The checks come first so that a message in error changes nothing.
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

// becomeFollower makes the member a follower (or learner) of term. The leader may
// be unknown yet. It ends a campaign and a leadership.
func (g *Group) becomeFollower(term uint64, leader member.ID) {
	if g.election.leads() {
		g.election.timer.restart(g.now)
		g.reads.failWaiting()
		g.leadership = nil
	}
	g.election.follow(term, leader)
}

// becomeLeader makes this member the leader of the present term, which a majority has
// granted to it, or all members in a recovery.
func (g *Group) becomeLeader() {
	g.election.follow(g.hardState.Term, g.cfg.Self)
	g.election.timer.lostLeader = ""
	g.leadership = newLeadership(g.memberState, &g.reads)
}
