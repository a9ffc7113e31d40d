package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// unresponsiveBackoffFencePeriods is the number of FenceAfter periods for which a peer that
// left heartbeats unanswered isn't tried again as a monitor.
const unresponsiveBackoffFencePeriods = 5

// recordResendRounds is the number of heartbeat rounds for which a peer may leave heartbeats
// unanswered before the heartbeats to it contain this node's record again.
const recordResendRounds = 2

// monitorSelector chooses this node's monitors: the successors on the ring that respond to
// heartbeats, spread over the zones. It owns the state of the peers to which this node sends,
// or sent, heartbeats.
type monitorSelector struct {
	config Config
	table  *memberTable
	peers  map[member.ID]*peer
}

// peer is a node to which this node sends, or sent, heartbeats. Its acknowledgements are
// those of this node's present incarnation.
type peer struct {
	// targeted reports whether this node now sends heartbeats to the peer. targetedSince
	// is when it began to, or when the peer's timer was last restarted.
	targeted      bool
	targetedSince time.Duration
	// acknowledged reports whether the peer has acknowledged a heartbeat of the present
	// incarnation since it became a target. lastContact is when this node sent the newest
	// heartbeat of the incarnation that the peer acknowledged as a target.
	acknowledged bool
	lastContact  time.Duration
	// boot is the incarnation with which the peer's process started.
	boot member.Incarnation
	// timedOutVersion is the newest monitor set version that the peer reported as timed
	// out.
	timedOutVersion uint64
	// reportedSetVersion is the monitor set version in the peer's newest reply.
	reportedSetVersion uint64
	// avoidUntil is the time before which the peer, unless it is targeted, counts as
	// unresponsive, because it left heartbeats unanswered.
	avoidUntil time.Duration
}

// lastHeard returns the time of the last contact with the peer, or targetedSince if that is
// later.
func (p *peer) lastHeard() time.Duration {
	if p.acknowledged {
		return max(p.targetedSince, p.lastContact)
	}
	return p.targetedSince
}

// reset clears the peers' acknowledgements, which an earlier incarnation got. A peer that is
// unresponsive at this time is no longer targeted and is avoided, so that the new incarnation
// doesn't wait for it again.
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

// restartTimers gives every peer the full time to respond again.
func (s *monitorSelector) restartTimers(now time.Duration) {
	for _, p := range s.peers {
		p.targetedSince = now
	}
}

// forget drops a peer whose record was dropped from the table.
func (s *monitorSelector) forget(id member.ID) {
	delete(s.peers, id)
}

// isPeer reports whether this node sends, or sent, heartbeats to a node.
func (s *monitorSelector) isPeer(id member.ID) bool {
	_, known := s.peers[id]
	return known
}

// acknowledge records a peer's reply to a heartbeat that was sent at sentAt.
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

// choose returns the members to use as monitors, sorted by ID. It prefers responsive members
// and adds unresponsive ones only if there are too few: a set that left them out could be so
// small that it can't fence this node, and a node that nobody acknowledges must stay fenced.
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

// isResponsive reports whether a member acknowledges heartbeats or hasn't had the time to do
// so. A member that gets no heartbeats counts as responsive if it seems reachable and isn't
// avoided. A targeted peer that is found to be unresponsive is avoided for some time.
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

// avoidUntil returns until when to avoid a peer that is found to be unresponsive at now.
func (s *monitorSelector) avoidUntil(now time.Duration) time.Duration {
	return now + unresponsiveBackoffFencePeriods*s.config.FenceAfter
}

// target makes the chosen members and the monitors of all declared sets the targets of
// heartbeats. It reports whether a target was added.
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

// targets returns the peers that get heartbeats, sorted by ID.
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

// heartbeat returns the heartbeat for a target. It contains this node's record unless the
// peer's newest reply shows that the peer has the record. A peer that stopped replying gets
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

// hasSelfRecord reports whether a peer has this node's present record. It compares only the
// monitor set version, because a peer acknowledges only the incarnation in its own table, and
// within an incarnation the record changes only with that version, apart from reports. While
// the record contains reports, or the peer's last contact is too old, the result is false.
func (s *monitorSelector) hasSelfRecord(now time.Duration, p *peer) bool {
	self := s.table.selfRecord()
	return p.acknowledged &&
		now-p.lastContact <= recordResendRounds*s.config.HeartbeatEvery &&
		p.reportedSetVersion == self.MonitorSetVersion &&
		len(self.TimeoutReports) == 0
}

// newSet returns a set of the chosen monitors, to be declared now. If it replaces another
// set, the monitors' last contacts are set to the time of the declaration. This is safe,
// because a monitor reports a member no sooner than FenceAfter+FenceMargin after it learned
// of the set.
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

// allResponsive reports whether each chosen member acknowledged a heartbeat that was sent
// within unresponsiveAfter.
func (s *monitorSelector) allResponsive(now time.Duration, chosen []member.ID) bool {
	for _, id := range chosen {
		p := s.peers[id]
		if !p.acknowledged || now-p.lastContact >= s.config.unresponsiveAfter() {
			return false
		}
	}
	return true
}

// isHealthy reports whether all monitors of a set respond, their acknowledgements count, and
// no monitor reported this node.
func (s *monitorSelector) isHealthy(now time.Duration, set *monitorSet) bool {
	for i, id := range set.monitors {
		e, known := s.table.entries[id]
		if !known || e.record.certainlyFenced() || !s.isResponsive(now, &e.record) || s.acknowledgementsVoid(set, i) {
			return false
		}
	}
	return !s.table.selfRecord().isSuspected()
}

// needsReplacement reports whether the declared set differs from the chosen one, or has a
// monitor whose acknowledgements no longer count or that reported this node.
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

// acknowledgementsVoid reports whether acknowledgements of a set's monitor no longer count:
// the monitor runs as another process than the set names, or it reported the set.
func (s *monitorSelector) acknowledgementsVoid(set *monitorSet, position int) bool {
	p := s.peers[set.monitors[position]]
	return p.boot != set.boots[position] || p.timedOutVersion >= set.version
}
