package membership

import (
	"math"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// noContact is the contact time of a monitor that has acknowledged nothing. Adding
// durations to it doesn't overflow.
const noContact = time.Duration(math.MinInt64 / 2)

// fence decides from the acknowledgements of this node's monitors whether the node
// may serve. It owns the node's present incarnation.
//
// Its invariant: before deadline, each set in monitorSets has acksNeeded monitors that
// acknowledged a heartbeat sent within the last fenceAfter; a set that replaced another
// counts as acknowledged when it was declared. In other words, the node serves under a
// lease that a majority of each set renews. update upholds this after each change.
type fence struct {
	localIncarnation
	// fenceAfter is how long an acknowledged heartbeat lets the node serve.
	fenceAfter time.Duration
	// endedCount is how many incarnations of this process have ended.
	endedCount uint64
}

// localIncarnation is one incarnation of this node. It begins fenced, serves once,
// and ends for good when it is fenced again.
type localIncarnation struct {
	number member.Incarnation
	// startedAt is when the incarnation began.
	startedAt time.Duration
	// recordVersion is the version of this incarnation's newest record.
	recordVersion uint64
	// monitorSets are the sets that may still fence this incarnation, oldest first.
	// There are two while one replaces the other.
	monitorSets []monitorSet
	// deadline is when the node is fenced unless more acknowledgements come. It is 0
	// without monitorSets, and follows from them otherwise.
	deadline time.Duration
	// served tells whether this incarnation was ever unfenced.
	served bool
	// left tells whether the node announced that it stops; nothing ends that.
	left bool
}

// begin replaces the present incarnation by a fenced one without monitors.
func (f *fence) begin(now time.Duration, number member.Incarnation) {
	f.localIncarnation = localIncarnation{number: number, startedAt: now}
}

// markLeft fences the node for good.
func (f *fence) markLeft() {
	f.left = true
	f.deadline = 0
}

// isFenced tells whether the node must refuse traffic.
func (f *fence) isFenced(now time.Duration) bool {
	return now >= f.deadline
}

// hasEnded tells whether the present incarnation served and has been fenced since.
// Other nodes may be certain of that fence, so it must never serve again.
func (f *fence) hasEnded(now time.Duration) bool {
	return !f.left && f.served && f.isFenced(now)
}

// newestSet returns the newest declared monitor set. There must be one.
func (f *fence) newestSet() *monitorSet {
	return &f.monitorSets[len(f.monitorSets)-1]
}

// declare makes a monitor set the newest one, under the next version.
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

// update drops the replaced sets that can't become certainly fenced any more, and
// derives the deadline: every remaining set must keep its majority.
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

// isSupersededBy tells whether a record of this node, received from another, is of an
// incarnation or version that this process hasn't reached. An earlier process of the
// node published it.
func (f *fence) isSupersededBy(record Record) bool {
	if record.Info.Incarnation != f.number {
		return record.Info.Incarnation > f.number
	}
	return record.Version > f.recordVersion
}

// monitorSet is one declared choice of monitors. The slices run in parallel.
type monitorSet struct {
	version  uint64
	monitors []member.ID
	// boots are the processes of the monitors that the node counts on.
	boots []member.Incarnation
	// lastContacts are the times at which the newest heartbeat that each monitor
	// acknowledged was sent.
	lastContacts []time.Duration
	// acknowledgedLaterSet marks the monitors that know a later set and never reported this one,
	// so that they never will.
	acknowledgedLaterSet []bool
}

// deadline is when too few monitors have a contact within fenceAfter.
func (s *monitorSet) deadline(fenceAfter time.Duration) time.Duration {
	needed := acksNeeded(len(s.monitors))
	if needed == 0 {
		return Never
	}
	contacts := slices.Sorted(slices.Values(s.lastContacts))
	return contacts[len(contacts)-needed] + fenceAfter
}

// isRetired tells whether so many monitors moved on that this set can't become
// certainly fenced any more.
func (s *monitorSet) isRetired() bool {
	count := 0
	for _, acknowledged := range s.acknowledgedLaterSet {
		if acknowledged {
			count++
		}
	}
	return count >= acksNeeded(len(s.monitors))
}

// acknowledge counts the reply of one monitor to a heartbeat that was sent at sentAt.
// A reply of another process of the monitor, or of one that reported this set, doesn't
// count.
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
