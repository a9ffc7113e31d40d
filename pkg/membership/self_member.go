package membership

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A process that supersedes another process of its node skips minIncarnationSkip incarnations
// and a random number of up to incarnationSkipJitter more.
const (
	minIncarnationSkip    = 1 << 16
	incarnationSkipJitter = 1 << 32
)

// selfMember represents this node as a member that other nodes monitor: it sends heartbeats,
// chooses and replaces its monitors, and ends an incarnation that was fenced. It owns the
// fence, the log of sent heartbeats and the peers that get heartbeats, and is the only
// component that publishes this node's record.
//
// Its invariant: an incarnation that served and was fenced never serves again, since other
// nodes may be certain of that fence. Each input of Machine calls endIfFenced before anything
// else, so that an acknowledgement that arrives too late can't extend the deadline of such
// an incarnation.
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

// newSelfMember returns a selfMember without an incarnation; startIncarnation begins one.
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

// startIncarnation starts a fenced incarnation without monitors. Acknowledgements of
// heartbeats of earlier incarnations don't count for it.
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

// leave fences this node permanently and publishes that it left.
func (s *selfMember) leave(now time.Duration) {
	s.fence.markLeft()
	s.publishRecord(now)
}

// skipIncarnationsPast begins an incarnation far beyond the given one, so that it doesn't
// collide with further incarnations of the earlier process of which this node hasn't learned.
// If two processes run under one ID, each skips past the other's incarnation; the limit of
// one skip per FenceAfter bounds the rate at which they do so.
func (s *selfMember) skipIncarnationsPast(now time.Duration, incarnation member.Incarnation) {
	if s.fence.left || now < s.nextSkip {
		return
	}
	s.nextSkip = now + s.config.FenceAfter
	skip := minIncarnationSkip + s.random.Uint64N(incarnationSkipJitter)
	s.startNextIncarnation(now, incarnation+member.Incarnation(skip))
}

// sendDueHeartbeats sends one heartbeat to each target if a round is due, and reports whether
// a round was due. A node that has left sends none.
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

// onHeartbeatReply counts an acknowledgement as of the time at which its heartbeat was
// sent. Replies to heartbeats of an earlier incarnation don't count.
func (s *selfMember) onHeartbeatReply(now time.Duration, msg Message) {
	sentAt, found := s.heartbeats.sentAt(msg.Sequence)
	if !found || !s.monitors.isPeer(msg.From.ID) || msg.Incarnation != s.fence.number {
		return
	}
	s.monitors.acknowledge(msg, sentAt)
	s.fence.acknowledge(now, msg, sentAt)
}

// maintainMonitorsAfter calls maintainMonitors if a message may allow a pending change of
// the monitor set.
func (s *selfMember) maintainMonitorsAfter(now time.Duration, msg Message) {
	waiting := len(s.fence.monitorSets) != 1 || s.fence.isFenced(now)
	if !s.fence.left && (waiting || msg.Type == MessageHeartbeatReply) {
		s.maintainMonitors(now)
	}
}

// maintainMonitors declares a monitor set, replaces it, or begins a new incarnation if the
// set can't be replaced in this incarnation. A set is replaced only by a set whose monitors
// all respond, and only after the previous replacement is complete. No set is declared
// before this node has joined.
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
		// The declared set can only be replaced while a majority of it acknowledges.
		s.startNextIncarnation(now, s.fence.number+1)
	default:
		s.declareMonitors(now, chosen)
	}
}

// shouldDeferChoice reports whether the choice of monitors should wait until the table is
// stable: each new member may change the successors on the ring, and each new set is an
// update that all nodes receive. An unhealthy set is replaced without this wait.
func (s *selfMember) shouldDeferChoice(now time.Duration) bool {
	if s.table.isStable(now) {
		return false
	}
	if len(s.fence.monitorSets) == 0 {
		return s.monitorSearchTime(now) < s.config.monitorChoiceTimeout()
	}
	return !s.fence.isFenced(now) && s.monitors.isHealthy(now, s.fence.newestSet())
}

// monitorSearchTime returns for how long this incarnation has searched for monitors: since
// its start, or since the node joined if that was later.
func (s *selfMember) monitorSearchTime(now time.Duration) time.Duration {
	return now - max(s.fence.startedAt, s.joiner.joinedAt)
}

// declareMonitors declares the chosen members as the newest monitor set of this incarnation.
func (s *selfMember) declareMonitors(now time.Duration, chosen []member.ID) {
	replaces := len(s.fence.monitorSets) > 0
	s.fence.declare(now, s.monitors.newSet(now, chosen, replaces))
	s.publishRecord(now)
	s.nextHeartbeat = now
}
