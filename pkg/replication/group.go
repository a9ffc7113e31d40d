package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Role is the part that a member plays in its group at present.
type Role uint8

// The roles of a member.
const (
	// RoleFollower follows the leader's log and votes.
	RoleFollower Role = iota + 1
	// RoleCandidate asks for promises.
	RoleCandidate
	// RoleLeader orders the log.
	RoleLeader
	// RoleLearner follows the leader's log and has no vote.
	RoleLearner
)

// String names the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	case RoleLearner:
		return "learner"
	default:
		return "unknown"
	}
}

// maxQueuedMessages bounds the messages that wait for a Ready.
const maxQueuedMessages = 4096

// Founders is one member's state machine of a replica group. It is not safe for
// concurrent use.
type Group struct {
	cfg Config
	// now is the newest instant that the driver has passed in.
	now  time.Duration
	hard HardState
	log  *replicaLog
	role Role
	// leader is the member that is known to lead hard.Term, or empty.
	leader member.ID
	// peers are the other members that are known at present, see SetPeers.
	peers []Peer

	election   election
	recovery   quorumRecovery
	leadership leadership
	reads      readQueue
	output     output
}

// election is what a voter knows about the need of a new leader.
type election struct {
	// leaderContact is when the leader was last heard.
	leaderContact time.Duration
	// waitFrom is when the wait for a leader began.
	waitFrom time.Duration
	// lostLeader is the leader that the wait is about; it is not waited for.
	lostLeader member.ID
	suspected  []member.ID
	// candidateBehind tells that a voter with an earlier turn can't win, known since
	// candidateBehindSince.
	candidateBehind      bool
	candidateBehindSince time.Duration

	// preElection tells that the present campaign raises no term.
	preElection bool
	// transfer tells that the leader asked for the present campaign.
	transfer    bool
	granted     []Voter
	rejected    []Voter
	requestedAt time.Duration
}

// leadership is what a member keeps while it leads the term.
type leadership struct {
	progress map[member.ID]*progress
	// barrier is the index of the entry that began the term.
	barrier         uint64
	heartbeatNumber uint64
	unconfirmed     []sentHeartbeat
	heartbeatAt     time.Duration
	// heartbeatLastIndex is the last index of the log when the last round began.
	heartbeatLastIndex uint64
	commandLease       lease.Holder
	priorLeases        lease.Successor
	// appendPending tells that followers have yet to be sent news.
	appendPending bool
	// transferTarget is the member that is to take over, or empty.
	transferTarget    member.ID
	transferStartedAt time.Duration
	transferSent      bool
	due               dueChange
}

// sentHeartbeat is a heartbeat round that no quorum has answered yet.
type sentHeartbeat struct {
	number uint64
	sentAt time.Duration
}

// New returns the state machine of a member with its durable state; the zero
// Restored is that of an empty disk.
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
	g.election.waitFrom = now
	return g, nil
}

// followerRole is that of a member which neither leads nor campaigns. Only a
// voter campaigns, as only it can win by the group that it knows.
func (g *Group) followerRole() Role {
	if g.cfg.Learner || !g.slots().votes(g.self()) {
		return RoleLearner
	}
	return RoleFollower
}

// updateRole takes in that the log of the leader may have changed the group.
func (g *Group) updateRole() {
	if g.role == RoleFollower || g.role == RoleLearner {
		g.role = g.followerRole()
	}
}

// self is this member in its present incarnation.
func (g *Group) self() Voter {
	return Voter{ID: g.cfg.Self, Incarnation: g.cfg.Incarnation}
}

// slots returns the group that is in effect.
func (g *Group) slots() slots {
	return g.log.groups.latest().slots
}

// Tick lets time pass. The driver calls it several times per HeartbeatEvery.
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

// advanceClock keeps time from running backwards.
func (g *Group) advanceClock(now time.Duration) {
	g.now = max(g.now, now)
}

// Step takes a message from another member in, whether it is known here or not:
// a new voter may be heard before the entry or the gossip that tells of it. What
// a member without a vote sends binds nobody. Messages may be lost, doubled,
// delayed and reordered. An error means that the message was not taken in. The
// clock must be read after the message arrived: the wait of a successor in the
// command lease counts from there.
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

// becomeFollower makes the member a follower (or learner) of term. The leader may be
// unknown yet.
func (g *Group) becomeFollower(term uint64, leader member.ID) {
	if term > g.hard.Term {
		g.hard.Term = term
		g.hard.VotedFor = ""
		g.hard.VotedForIncarnation = 0
	}
	if g.role == RoleLeader {
		g.election.waitFrom = g.now
		g.failReads()
	}
	g.role = g.followerRole()
	g.leader = leader
	g.leadership = leadership{}
	g.election.granted = nil
	g.election.rejected = nil
	g.election.preElection = false
	g.election.transfer = false
	g.election.candidateBehind = false
}

func (g *Group) quorum() int {
	return g.slots().quorum()
}

// send queues a message for the next Ready. While a sync stalls, the queue is
// bounded; what is dropped then counts as lost on the way, and is repeated.
func (g *Group) send(to member.ID, m Message) {
	if len(g.output.messages) >= maxQueuedMessages {
		return
	}
	m.Incarnation = g.cfg.Incarnation
	g.output.messages = append(g.output.messages, Outbound{To: to, Message: m})
}
