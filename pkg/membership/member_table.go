package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// memberTable owns the newest known record of each member, this node included,
// together with the indexes and digests derived from the records. A record changes
// only through merge and disappears only through forgetFenced, so that the indexes
// and digests always match the records.
type memberTable struct {
	self    member.ID
	entries map[member.ID]*entry
	// sortedIDs holds the keys of entries in ascending order.
	sortedIDs []member.ID
	// ring orders the other members for the choice of monitors.
	ring ring
	// monitored are the members that chose this node as a monitor.
	monitored idSet
	// fenced are the members whose newest incarnation is certainly fenced.
	fenced idSet
	// digest is the sum of the digests of all records, and buckets contains the sum for
	// each key range.
	digest  uint64
	buckets [bucketCount]uint64
	// forgotten holds the newest incarnation, which has ended, of each member whose
	// record was dropped.
	forgotten map[member.ID]member.Incarnation
	// changedAt is when a record last changed, and grownAt when a member was last
	// added.
	changedAt time.Duration
	grownAt   time.Duration
	// stabilizationWait is how long no member must have been added for the table to count
	// as stable.
	stabilizationWait time.Duration
	observers         []tableObserver
}

// tableObserver is notified synchronously of each record that a merge added or changed.
type tableObserver interface {
	recordChanged(now time.Duration, id member.ID, change tableChange)
}

// entry is a record with the values that this node derives from it.
type entry struct {
	record Record
	// key and digest represent the member and its record in summaries.
	key    uint32
	digest uint64
	// incarnationSince is when this node learned of the member's newest incarnation,
	// or that the member left.
	incarnationSince time.Duration
	// fencedSince is when forgetFenced first found the member fenced; valid if
	// seenFenced is set.
	fencedSince time.Duration
	seenFenced  bool
}

// tableChange describes what a merge changed in one member's record.
type tableChange struct {
	newMember      bool
	newIncarnation bool
	newMonitorSet  bool
}

func newMemberTable(cfg Config) *memberTable {
	return &memberTable{
		self:              cfg.Self.ID,
		entries:           map[member.ID]*entry{},
		ring:              newRing(cfg.Self.ID),
		forgotten:         map[member.ID]member.Incarnation{},
		stabilizationWait: cfg.stabilizationWait(),
	}
}

// merge merges a record into the table, and notifies the observers if the table changed.
func (t *memberTable) merge(now time.Duration, record Record) {
	change, changed := t.mergeUnobserved(now, record)
	if !changed {
		return
	}
	for _, observer := range t.observers {
		observer.recordChanged(now, record.Info.ID, change)
	}
}

// mergeUnobserved merges a record without notifying the observers. It returns false if the
// table didn't change, because the record adds nothing new or belongs to a forgotten
// incarnation.
func (t *memberTable) mergeUnobserved(now time.Duration, record Record) (tableChange, bool) {
	id := record.Info.ID
	if ended, forgotten := t.forgotten[id]; forgotten && record.Info.Incarnation <= ended {
		return tableChange{}, false
	}
	e, known := t.entries[id]
	if !known {
		t.insert(now, mergeRecords(record, record))
		return tableChange{newMember: true}, true
	}
	if len(record.TimeoutReports) == 0 && compareStatements(record, e.record) <= 0 {
		return tableChange{}, false
	}
	merged := mergeRecords(e.record, record)
	if equalRecords(merged, e.record) {
		return tableChange{}, false
	}
	change := tableChange{
		newIncarnation: merged.Info.Incarnation != e.record.Info.Incarnation,
		newMonitorSet:  merged.MonitorSetVersion != e.record.MonitorSetVersion,
	}
	if change.newIncarnation || leftRank(merged) != leftRank(e.record) {
		e.incarnationSince = now
	}
	e.record = merged
	e.seenFenced = e.seenFenced && merged.certainlyFenced()
	t.updateDigest(e)
	t.updateIndexes(id, e)
	t.changedAt = now
	return change, true
}

func (t *memberTable) insert(now time.Duration, record Record) {
	id := record.Info.ID
	delete(t.forgotten, id)
	e := &entry{record: record, key: memberKey(id), incarnationSince: now}
	t.entries[id] = e
	t.updateDigest(e)
	t.updateIndexes(id, e)
	at, _ := slices.BinarySearch(t.sortedIDs, id)
	t.sortedIDs = slices.Insert(t.sortedIDs, at, id)
	if id != t.self {
		t.ring.insert(id)
	}
	t.changedAt = now
	t.grownAt = now
}

// updateIndexes updates the index sets that depend on an entry's record.
func (t *memberTable) updateIndexes(id member.ID, e *entry) {
	t.monitored.set(id, e.record.namesMonitor(t.self))
	t.fenced.set(id, e.record.certainlyFenced())
}

// forgetFenced drops the records of other members that have been certainly fenced for at
// least the given time, and returns these members. Only their last incarnation is kept.
func (t *memberTable) forgetFenced(now, after time.Duration) []member.ID {
	var dropped []member.ID
	for _, id := range slices.Clone(t.fenced) {
		if id == t.self {
			continue
		}
		e := t.entries[id]
		if !e.seenFenced {
			e.seenFenced = true
			e.fencedSince = now
		}
		if now-e.fencedSince < after {
			continue
		}
		t.forgotten[id] = e.record.Info.Incarnation
		t.remove(id)
		dropped = append(dropped, id)
	}
	return dropped
}

func (t *memberTable) remove(id member.ID) {
	t.removeFromDigest(t.entries[id])
	delete(t.entries, id)
	t.monitored.set(id, false)
	t.fenced.set(id, false)
	at, _ := slices.BinarySearch(t.sortedIDs, id)
	t.sortedIDs = slices.Delete(t.sortedIDs, at, at+1)
	t.ring.remove(id)
}

// isStable reports whether no member has been added recently, so that this node's successors
// on the ring are unlikely to change.
func (t *memberTable) isStable(now time.Duration) bool {
	return now-t.grownAt >= t.stabilizationWait
}

// assumeStable makes the table count as stable without the stabilization wait. It is called
// when no further members are expected.
func (t *memberTable) assumeStable(now time.Duration) {
	t.grownAt = now - t.stabilizationWait
}

// selfRecord returns this node's record. New adds the record, and it is never dropped.
func (t *memberTable) selfRecord() *Record {
	return &t.entries[t.self].record
}

// addressOf returns the address of a member, if the member is known.
func (t *memberTable) addressOf(id member.ID) (string, bool) {
	e, known := t.entries[id]
	if !known {
		return "", false
	}
	return e.record.Info.Address, true
}

// copyRecords returns deep copies of all records, sorted by ID.
func (t *memberTable) copyRecords() []Record {
	records := make([]Record, 0, len(t.sortedIDs))
	for _, id := range t.sortedIDs {
		records = append(records, t.entries[id].record.clone())
	}
	return records
}

// isAlone reports whether all other members in the table, if any, are certainly fenced.
func (t *memberTable) isAlone() bool {
	return !slices.ContainsFunc(t.sortedIDs, func(id member.ID) bool {
		return id != t.self && !t.entries[id].record.certainlyFenced()
	})
}

// isOrphaned reports whether so many of a member's monitors are not alive that the member, if
// it were running, would already have replaced them.
func (t *memberTable) isOrphaned(record *Record) bool {
	lost := 0
	for _, id := range record.Monitors {
		e, known := t.entries[id]
		if !known || e.record.State != StateAlive {
			lost++
		}
	}
	return lost > 0 && lost >= min(reportsNeeded(len(record.Monitors)), len(record.Monitors))
}
