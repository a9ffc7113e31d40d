package membership

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A process that supersedes an earlier one skips minIncarnationSkip incarnations, and
// up to incarnationSkipJitter more, drawn at random.
const (
	minIncarnationSkip    = 1 << 16
	incarnationSkipJitter = 1 << 32
)

// selfMember is this node in its role as a member that others monitor: it sends heartbeats,
// chooses and replaces its monitors, and ends an incarnation that was fenced. It owns the
// fence, the log of sent heartbeats and the peers that get them, and is the only part that
// publishes this node's record.
//
// Its invariant: an incarnation that served and was fenced never serves again, since others
// may be certain of that fence. Each input of Machine calls endIfFenced before anything
// else, so that no acknowledgement that comes too late can move the deadline of such an
// incarnation.
type selfMember struct {
	config Config
	table  *memberTable
	joiner *joiner
	outbox *outbox
	random *rand.Rand

	fence      fence
	heartbeats heartbeatLog
	monitors   monitorSelector
	// nextHeartbeat is when heartbeats are sent next.
	nextHeartbeat time.Duration
	// nextSkip is when skipIncarnationsPast may act again.
	nextSkip time.Duration
}

// newSelfMember returns the part without an incarnation; startIncarnation begins one.
func newSelfMember(cfg Config, table *memberTable, joiner *joiner, sampler *sampler, outbox *outbox, now time.Duration) *selfMember {
	return &selfMember{
		config:        cfg,
		table:         table,
		joiner:        joiner,
		outbox:        outbox,
		random:        sampler.random,
		fence:         fence{fenceAfter: cfg.FenceAfter},
		monitors:      monitorSelector{config: cfg, table: table, peers: map[member.ID]*peer{}},
		nextHeartbeat: now,
	}
}

// endIfFenced begins the next incarnation if the present one served and is fenced.
func (s *selfMember) endIfFenced(now time.Duration) {
	if s.fence.hasEnded(now) {
		s.startNextIncarnation(now, s.fence.number+1)
	}
}

// startNextIncarnation ends the present incarnation and starts another.
func (s *selfMember) startNextIncarnation(now time.Duration, number member.Incarnation) {
	s.fence.endedCount++
	s.startIncarnation(now, number)
	s.nextHeartbeat = now
}

// startIncarnation starts a fenced incarnation without monitors. What monitors
// acknowledged to the one before doesn't count for it.
func (s *selfMember) startIncarnation(now time.Duration, number member.Incarnation) {
	s.fence.begin(now, number)
	s.heartbeats.clear()
	s.monitors.reset(now)
	s.publishRecord(now)
}

// publishRecord puts a new version of this node's record into the table.
func (s *selfMember) publishRecord(now time.Duration) {
	s.table.merge(now, s.fence.nextRecord(s.config.Self))
}

// leave fences this node for good and publishes that.
func (s *selfMember) leave(now time.Duration) {
	s.fence.markLeft()
	s.publishRecord(now)
}

// skipIncarnationsPast begins an incarnation so far after the given one that it doesn't
// meet those of the earlier process that nobody here has heard of. If two processes
// run under one ID, they outbid each other at most once in FenceAfter.
func (s *selfMember) skipIncarnationsPast(now time.Duration, incarnation member.Incarnation) {
	if s.fence.left || now < s.nextSkip {
		return
	}
	s.nextSkip = now + s.config.FenceAfter
	skip := minIncarnationSkip + s.random.Uint64N(incarnationSkipJitter)
	s.startNextIncarnation(now, incarnation+member.Incarnation(skip))
}

// sendDueHeartbeats sends one heartbeat to each target if a round is due, and returns
// whether it was. A node that has left sends none.
func (s *selfMember) sendDueHeartbeats(now time.Duration) bool {
	if now < s.nextHeartbeat || s.fence.left {
		return false
	}
	s.nextHeartbeat = now + s.config.HeartbeatEvery
	sequence := s.heartbeats.add(now, s.config.FenceAfter)
	for _, id := range s.monitors.targets() {
		s.outbox.send(id, s.monitors.heartbeat(now, id, sequence))
	}
	return true
}

// onHeartbeatReply counts an acknowledgement by the time at which its heartbeat was
// sent. Replies to heartbeats of an earlier incarnation don't count.
func (s *selfMember) onHeartbeatReply(now time.Duration, msg Message) {
	sentAt, found := s.heartbeats.sentAt(msg.Sequence)
	if !found || !s.monitors.isPeer(msg.From.ID) || msg.Incarnation != s.fence.number {
		return
	}
	s.monitors.acknowledge(msg, sentAt)
	s.fence.acknowledge(now, msg, sentAt)
}

// maintainMonitorsAfter reconsiders the monitors when a message may allow a change
// that is waited for.
func (s *selfMember) maintainMonitorsAfter(now time.Duration, msg Message) {
	waiting := len(s.fence.monitorSets) != 1 || s.fence.isFenced(now)
	if !s.fence.left && (waiting || msg.Type == MessageHeartbeatReply) {
		s.maintainMonitors(now)
	}
}

// maintainMonitors declares a monitor set, replaces it, or begins a new incarnation if the
// set can't be replaced in this one. A set is replaced only by one whose members all
// respond, and not before the replacement before it is complete. No set is declared before
// this node has joined.
func (s *selfMember) maintainMonitors(now time.Duration) {
	if !s.joiner.joined || len(s.fence.monitorSets) > 1 {
		return
	}
	if s.table.selfRecord().certainlyFenced() {
		s.startNextIncarnation(now, s.fence.number+1)
	}
	if s.shouldDeferChoice(now) {
		return
	}
	chosen := s.monitors.choose(now)
	if added := s.monitors.target(now, chosen, s.fence.monitorSets); added {
		s.nextHeartbeat = now
	}
	ready := s.monitors.allResponsive(now, chosen)
	switch {
	case len(s.fence.monitorSets) == 0:
		if ready || s.monitorSearchTime(now) >= s.config.unresponsiveAfter() {
			s.declareMonitors(now, chosen)
		}
	case !ready || !s.monitors.needsReplacement(s.fence.newestSet(), chosen):
		return
	case s.fence.isFenced(now):
		// The declared set can't be replaced without its majority.
		s.startNextIncarnation(now, s.fence.number+1)
	default:
		s.declareMonitors(now, chosen)
	}
}

// shouldDeferChoice tells whether the choice of monitors had better wait until the
// table is stable: each new member may take another's place on the ring, and each new
// set is an update to all. A set that may fail is replaced at once.
func (s *selfMember) shouldDeferChoice(now time.Duration) bool {
	if s.table.isStable(now) {
		return false
	}
	if len(s.fence.monitorSets) == 0 {
		return s.monitorSearchTime(now) < s.config.monitorChoiceTimeout()
	}
	return !s.fence.isFenced(now) && s.monitors.isHealthy(now, s.fence.newestSet())
}

// monitorSearchTime is for how long this incarnation has looked for monitors: since its start, or
// since the node joined if that was later.
func (s *selfMember) monitorSearchTime(now time.Duration) time.Duration {
	return now - max(s.fence.startedAt, s.joiner.joinedAt)
}

// declareMonitors makes the chosen members the newest set of this incarnation.
func (s *selfMember) declareMonitors(now time.Duration, chosen []member.ID) {
	replaces := len(s.fence.monitorSets) > 0
	s.fence.declare(now, s.monitors.newSet(now, chosen, replaces))
	s.publishRecord(now)
	s.nextHeartbeat = now
}
