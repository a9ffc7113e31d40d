package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// unresponsiveBackoffFencePeriods is for how many FenceAfter periods a peer that left
// heartbeats unanswered isn't tried again as a monitor.
const unresponsiveBackoffFencePeriods = 5

// recordResendRounds is for how many heartbeat rounds a peer may leave heartbeats
// unanswered before they contain this node's record again.
const recordResendRounds = 2

// monitorSelector chooses this node's monitors: the successors on the ring that
// respond to heartbeats, spread over the zones. It owns what this node knows of the
// peers that it sends heartbeats to.
type monitorSelector struct {
	config Config
	table  *memberTable
	peers  map[member.ID]*peer
}

// peer is a node that gets, or got, heartbeats from this one. What it acknowledged
// refers to this node's present incarnation.
type peer struct {
	// targeted tells whether heartbeats go to the peer now, and targetedSince since
	// when.
	targeted      bool
	targetedSince time.Duration
	// acknowledged tells whether the peer acknowledged a heartbeat since
	// targetedSince, and lastContact is when the newest such heartbeat was sent.
	acknowledged bool
	lastContact  time.Duration
	// boot is the incarnation with which the peer's process started.
	boot member.Incarnation
	// timedOutVersion is the newest monitor set version that the peer reported.
	timedOutVersion uint64
	// reportedSetVersion is the monitor set version in the peer's newest reply.
	reportedSetVersion uint64
	// avoidUntil is until when the peer, having been unresponsive, isn't chosen.
	avoidUntil time.Duration
}

// lastHeard is when the peer last showed that it responds, or began to be targeted.
func (p *peer) lastHeard() time.Duration {
	if p.acknowledged {
		return max(p.targetedSince, p.lastContact)
	}
	return p.targetedSince
}

// reset forgets what the peers acknowledged to an earlier incarnation. A peer that
// seems lost is not waited for again.
func (s *monitorSelector) reset(now time.Duration) {
	for _, p := range s.peers {
		if p.targeted && now-p.lastHeard() >= s.config.unresponsiveAfter() {
			p.targeted = false
			p.avoidUntil = s.avoidUntil(now)
		}
		p.targetedSince = now
		p.acknowledged = false
		p.lastContact = 0
		p.timedOutVersion = 0
		p.reportedSetVersion = 0
	}
}

// restartTimers grants every peer the full time to respond again.
func (s *monitorSelector) restartTimers(now time.Duration) {
	for _, p := range s.peers {
		p.targetedSince = now
	}
}

// forget drops a peer whose record was dropped from the table.
func (s *monitorSelector) forget(id member.ID) {
	delete(s.peers, id)
}

// isPeer tells whether a node is a peer.
func (s *monitorSelector) isPeer(id member.ID) bool {
	_, known := s.peers[id]
	return known
}

// acknowledge takes in a peer's reply to a heartbeat that was sent at sentAt.
func (s *monitorSelector) acknowledge(reply Message, sentAt time.Duration) {
	p := s.peers[reply.From.ID]
	p.boot = reply.Boot
	p.timedOutVersion = max(p.timedOutVersion, reply.TimedOutVersion)
	p.reportedSetVersion = reply.MonitorSetVersion
	if p.targeted {
		p.lastContact = max(p.lastContact, sentAt)
		p.acknowledged = true
	}
}

// choose returns the members to use as monitors, sorted. It prefers responsive ones
// and takes others only if there are too few: a node that nobody acknowledges must
// stay fenced.
func (s *monitorSelector) choose(now time.Duration) []member.ID {
	count := s.config.MonitorCount
	responsive := monitorChoice{count: count}
	unresponsive := monitorChoice{count: count}
	for _, successor := range s.table.ring.successors {
		record := &s.table.entries[successor.id].record
		switch {
		case record.certainlyFenced():
			continue
		case s.isResponsive(now, record):
			responsive.offer(record.Info)
		default:
			unresponsive.offer(record.Info)
		}
		if responsive.complete() {
			break
		}
	}
	chosen := responsive.chosen(count)
	chosen = append(chosen, unresponsive.chosen(count-len(chosen))...)
	slices.Sort(chosen)
	return chosen
}

// isResponsive tells whether a member acknowledges heartbeats, or hasn't had the time
// to. A peer found unresponsive is avoided for a while.
func (s *monitorSelector) isResponsive(now time.Duration, record *Record) bool {
	p, known := s.peers[record.Info.ID]
	if !known || !p.targeted {
		avoid := known && now < p.avoidUntil
		return record.seemsReachable() && !avoid
	}
	if now-p.lastHeard() < s.config.unresponsiveAfter() {
		return true
	}
	if now >= p.avoidUntil {
		p.avoidUntil = s.avoidUntil(now)
	}
	return false
}

func (s *monitorSelector) avoidUntil(now time.Duration) time.Duration {
	return now + unresponsiveBackoffFencePeriods*s.config.FenceAfter
}

// target directs heartbeats to the chosen members and to the monitors of all declared
// sets, and to nobody else. It tells whether one of them got none before.
func (s *monitorSelector) target(now time.Duration, chosen []member.ID, declared []monitorSet) bool {
	targets := slices.Clone(chosen)
	for _, set := range declared {
		targets = append(targets, set.monitors...)
	}
	for id, p := range s.peers {
		if p.targeted && !slices.Contains(targets, id) {
			p.targeted = false
		}
	}
	added := false
	for _, id := range targets {
		p, known := s.peers[id]
		if !known {
			p = &peer{}
			s.peers[id] = p
		}
		if !p.targeted {
			p.targeted = true
			p.targetedSince = now
			p.acknowledged = false
			added = true
		}
	}
	return added
}

// targets returns the peers that get heartbeats, sorted.
func (s *monitorSelector) targets() []member.ID {
	var ids []member.ID
	for id, p := range s.peers {
		if p.targeted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// heartbeat returns the heartbeat for a target. It contains this node's record unless
// the peer's newest reply shows that the peer has it. A peer that stopped replying gets
// the record again, since it may have restarted without a table.
func (s *monitorSelector) heartbeat(now time.Duration, to member.ID, sequence uint64) Message {
	p := s.peers[to]
	if s.hasSelfRecord(now, p) {
		return Message{Type: MessageHeartbeat, Sequence: sequence, MonitorSetVersion: p.reportedSetVersion}
	}
	record := s.table.selfRecord().clone()
	return Message{
		Type:              MessageHeartbeat,
		Sequence:          sequence,
		MonitorSetVersion: record.MonitorSetVersion,
		Records:           []Record{record},
	}
}

// hasSelfRecord tells whether a peer has this node's present record. A peer replies
// only to the incarnation in its own table, and within an incarnation the record
// changes with the monitor set version alone, apart from reports.
func (s *monitorSelector) hasSelfRecord(now time.Duration, p *peer) bool {
	self := s.table.selfRecord()
	return p.acknowledged &&
		now-p.lastContact <= recordResendRounds*s.config.HeartbeatEvery &&
		p.reportedSetVersion == self.MonitorSetVersion &&
		len(self.TimeoutReports) == 0
}

// newSet returns a set of the chosen monitors, to be declared now. If it replaces
// another set, its contacts count from its declaration, which is safe: a monitor
// reports FenceAfter+FenceMargin after it learnt of the set at the earliest.
func (s *monitorSelector) newSet(now time.Duration, chosen []member.ID, replaces bool) monitorSet {
	set := monitorSet{
		monitors:             chosen,
		boots:                make([]member.Incarnation, len(chosen)),
		lastContacts:         make([]time.Duration, len(chosen)),
		acknowledgedLaterSet: make([]bool, len(chosen)),
	}
	for i, id := range chosen {
		p, known := s.peers[id]
		if known {
			set.boots[i] = p.boot
		}
		switch {
		case replaces:
			set.lastContacts[i] = now
		case known && p.acknowledged:
			set.lastContacts[i] = p.lastContact
		default:
			set.lastContacts[i] = noContact
		}
	}
	return set
}

// allResponsive tells whether each chosen member acknowledged a recent heartbeat.
func (s *monitorSelector) allResponsive(now time.Duration, chosen []member.ID) bool {
	for _, id := range chosen {
		p := s.peers[id]
		if !p.acknowledged || now-p.lastContact >= s.config.unresponsiveAfter() {
			return false
		}
	}
	return true
}

// isHealthy tells whether all monitors of a set respond and count, and none suspects
// this node.
func (s *monitorSelector) isHealthy(now time.Duration, set *monitorSet) bool {
	for i, id := range set.monitors {
		e, known := s.table.entries[id]
		if !known || e.record.certainlyFenced() || !s.isResponsive(now, &e.record) || s.acknowledgementsVoid(set, i) {
			return false
		}
	}
	return !s.table.selfRecord().isSuspected()
}

// needsReplacement tells whether the declared set differs from the chosen one, has a
// monitor whose acknowledgements no longer count, or has one that suspects this node.
func (s *monitorSelector) needsReplacement(set *monitorSet, chosen []member.ID) bool {
	if !slices.Equal(set.monitors, chosen) {
		return true
	}
	for position := range set.monitors {
		if s.acknowledgementsVoid(set, position) {
			return true
		}
	}
	return s.table.selfRecord().isSuspected()
}

// acknowledgementsVoid tells whether acknowledgements of a set's monitor no longer
// count: it runs as another process, or reported the set.
func (s *monitorSelector) acknowledgementsVoid(set *monitorSet, position int) bool {
	p := s.peers[set.monitors[position]]
	return p.boot != set.boots[position] || p.timedOutVersion >= set.version
}
