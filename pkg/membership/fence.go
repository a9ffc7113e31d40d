package membership

import (
	"math"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// noContact is the time of last contact of a monitor that has acknowledged nothing. Adding
// a duration to it doesn't overflow.
const noContact = time.Duration(math.MinInt64 / 2)

// fence decides from the acknowledgements of this node's monitors whether the node
// may serve. It owns the node's present incarnation.
//
// Its invariant: before deadline, each set in monitorSets has acksNeeded monitors that
// acknowledged a heartbeat sent within the last fenceAfter. The monitors of a set that
// replaced another count as having acknowledged when the set was declared. In other words,
// the node serves under a lease that a majority of each set renews. update restores the
// invariant after each change.
type fence struct {
	localIncarnation
	// fenceAfter is how long the node may serve after it sent an acknowledged heartbeat.
	fenceAfter time.Duration
	// endedCount is how many incarnations of this process have ended.
	endedCount uint64
}

// localIncarnation is one incarnation of this node. It begins fenced, may then serve without
// interruption, and ends permanently when it is fenced again.
type localIncarnation struct {
	number member.Incarnation
	// startedAt is when the incarnation began.
	startedAt time.Duration
	// recordVersion is the version of this incarnation's newest record.
	recordVersion uint64
	// monitorSets are the sets that may still fence this incarnation, oldest first.
	// There are two while one replaces the other.
	monitorSets []monitorSet
	// deadline is when the node is fenced unless further acknowledgements arrive. It is 0
	// if there are no monitorSets, and derived from them otherwise.
	deadline time.Duration
	// served reports whether this incarnation was ever unfenced.
	served bool
	// left reports whether the node announced that it stops; it is never reset.
	left bool
}

// begin replaces the present incarnation with a fenced one without monitors.
func (f *fence) begin(now time.Duration, number member.Incarnation) {
	f.localIncarnation = localIncarnation{number: number, startedAt: now}
}

// markLeft fences the node permanently.
func (f *fence) markLeft() {
	f.left = true
	f.deadline = 0
}

// isFenced reports whether the node must refuse traffic.
func (f *fence) isFenced(now time.Duration) bool {
	return now >= f.deadline
}

// hasEnded reports whether the present incarnation served and has been fenced since.
// Other nodes may be certain of that fence, so the incarnation must never serve again.
func (f *fence) hasEnded(now time.Duration) bool {
	return !f.left && f.served && f.isFenced(now)
}

// newestSet returns the newest declared monitor set. At least one must have been declared.
func (f *fence) newestSet() *monitorSet {
	return &f.monitorSets[len(f.monitorSets)-1]
}

// declare adds a monitor set as the newest one, under the next version.
func (f *fence) declare(now time.Duration, set monitorSet) {
	set.version = 1
	if len(f.monitorSets) > 0 {
		set.version = f.newestSet().version + 1
	}
	f.monitorSets = append(f.monitorSets, set)
	f.update(now)
}

// acknowledge counts a monitor's reply to a heartbeat that was sent at sentAt.
func (f *fence) acknowledge(now time.Duration, reply Message, sentAt time.Duration) {
	if len(f.monitorSets) == 0 || f.left {
		return
	}
	for i := range f.monitorSets {
		f.monitorSets[i].acknowledge(reply, sentAt)
	}
	f.update(now)
}

// update drops the replaced sets under which the node can no longer become certainly fenced,
// and derives the deadline: it is the earliest time at which a remaining set lacks its
// majority.
func (f *fence) update(now time.Duration) {
	for len(f.monitorSets) > 1 && f.monitorSets[0].isRetired() {
		f.monitorSets = f.monitorSets[1:]
	}
	deadline := Never
	for i := range f.monitorSets {
		deadline = min(deadline, f.monitorSets[i].deadline(f.fenceAfter))
	}
	f.deadline = max(deadline, 0)
	f.served = f.served || !f.isFenced(now)
}

// nextRecord returns this node's record under the next version.
func (f *fence) nextRecord(self member.Info) Record {
	f.recordVersion++
	self.Incarnation = f.number
	record := Record{Info: self, State: StateAlive, Version: f.recordVersion}
	if f.left {
		record.State = StateLeft
	}
	if len(f.monitorSets) > 0 {
		set := f.newestSet()
		record.MonitorSetVersion = set.version
		record.Monitors = slices.Clone(set.monitors)
		record.MonitorBoots = slices.Clone(set.boots)
	}
	return record
}

// isSupersededBy reports whether a record of this node, received from another node, has an
// incarnation or version that this process hasn't reached. Another process of this node or
// an operator's Remove created such a record.
func (f *fence) isSupersededBy(record Record) bool {
	if record.Info.Incarnation != f.number {
		return record.Info.Incarnation > f.number
	}
	return record.Version > f.recordVersion
}

// monitorSet is a declared set of monitors. The elements of the slices at one index belong
// to one monitor.
type monitorSet struct {
	version  uint64
	monitors []member.ID
	// boots identify the monitors' processes whose acknowledgements count.
	boots []member.Incarnation
	// lastContacts are the times at which this node sent the newest heartbeat that each
	// monitor acknowledged.
	lastContacts []time.Duration
	// acknowledgedLaterSet marks the monitors that know a later set and haven't reported
	// this one. They will never report it.
	acknowledgedLaterSet []bool
}

// deadline returns when fewer than acksNeeded monitors will have a contact within the last
// fenceAfter.
func (s *monitorSet) deadline(fenceAfter time.Duration) time.Duration {
	needed := acksNeeded(len(s.monitors))
	if needed == 0 {
		return Never
	}
	contacts := slices.Sorted(slices.Values(s.lastContacts))
	return contacts[len(contacts)-needed] + fenceAfter
}

// isRetired reports whether so many monitors know a later set that the node can no longer
// become certainly fenced under this set.
func (s *monitorSet) isRetired() bool {
	count := 0
	for _, acknowledged := range s.acknowledgedLaterSet {
		if acknowledged {
			count++
		}
	}
	return count >= acksNeeded(len(s.monitors))
}

// acknowledge counts the reply of one monitor to a heartbeat that was sent at sentAt. The
// reply doesn't count if another process of the monitor sent it, or if the monitor has
// reported this set or a later one.
func (s *monitorSet) acknowledge(reply Message, sentAt time.Duration) {
	at := slices.Index(s.monitors, reply.From.ID)
	if at < 0 || s.boots[at] != reply.Boot || reply.TimedOutVersion >= s.version {
		return
	}
	s.lastContacts[at] = max(s.lastContacts[at], sentAt)
	if reply.MonitorSetVersion > s.version {
		s.acknowledgedLaterSet[at] = true
	}
}
