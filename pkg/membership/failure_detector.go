package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// failureDetector is this node in its role as a monitor of others: it acknowledges
// heartbeats and reports the members whose heartbeats stopped. It owns a timer for each
// member.
//
// Its invariant is that a report is a promise: after it, this process never again
// acknowledges that incarnation under that monitor set version. Heartbeats that come after
// the report get replies nevertheless, since the member may have declared a later set; but
// each reply states the newest version reported, and the member counts no reply for
// versions up to it, even before the report itself has reached it. Replies sent before the
// report need no such mark: by then they have expired, since a report comes timeout after
// the last of them.
type failureDetector struct {
	self member.ID
	// boot identifies this process in reports, since a promise ends with it.
	boot member.Incarnation
	// timeout is how long a member may be silent before it is reported.
	timeout time.Duration
	table   *memberTable
	outbox  *outbox
	// timers has one timer for each member of the table.
	timers map[member.ID]*heartbeatTimer
}

// heartbeatTimer times the heartbeats of one member's newest incarnation.
type heartbeatTimer struct {
	// lastHeard is when the member was last heard, or when this node learnt of its
	// monitor set, whichever is later.
	lastHeard time.Duration
	// timedOutVersion is the newest monitor set version reported; 0 if none.
	timedOutVersion uint64
}

func newFailureDetector(cfg Config, table *memberTable, outbox *outbox) *failureDetector {
	return &failureDetector{
		self:    cfg.Self.ID,
		boot:    cfg.Self.Incarnation,
		timeout: cfg.monitorTimeout(),
		table:   table,
		outbox:  outbox,
		timers:  map[member.ID]*heartbeatTimer{},
	}
}

// recordChanged restarts a member's timer for each new incarnation and each new monitor
// set: this node learnt of it only now, and owes the member the full time-out.
func (d *failureDetector) recordChanged(now time.Duration, id member.ID, change tableChange) {
	switch {
	case change.newMember || change.newIncarnation:
		d.timers[id] = &heartbeatTimer{lastHeard: now}
	case change.newMonitorSet:
		d.timers[id].lastHeard = now
	}
}

// restartTimers grants every member the full time-out again.
func (d *failureDetector) restartTimers(now time.Duration) {
	for _, timer := range d.timers {
		timer.lastHeard = now
	}
}

// forget drops the timer of a member whose record was dropped from the table.
func (d *failureDetector) forget(id member.ID) {
	delete(d.timers, id)
}

// onHeartbeat acknowledges a heartbeat of the sender's newest incarnation, and returns
// whether it did. A sender that has been superseded, left or was removed gets the record
// that this node has of it instead.
func (d *failureDetector) onHeartbeat(now time.Duration, msg Message) bool {
	e, known := d.table.entries[msg.From.ID]
	if !known {
		return false
	}
	if e.record.Info.Incarnation != msg.Incarnation || e.record.State == StateLeft {
		d.outbox.reply(msg, Message{Type: MessageGossip, Records: []Record{e.record.clone()}})
		return false
	}
	timer := d.timers[msg.From.ID]
	timer.lastHeard = now
	d.outbox.reply(msg, Message{
		Type:              MessageHeartbeatReply,
		Sequence:          msg.Sequence,
		Incarnation:       msg.Incarnation,
		MonitorSetVersion: e.record.MonitorSetVersion,
		TimedOutVersion:   timer.timedOutVersion,
	})
	return true
}

// reportTimeouts adds this node's report to the record of each member that chose this
// node as a monitor and has timed out.
//
// A process that the member doesn't count on, because it started after the member's
// choice, reports too: otherwise a member that died shortly before that start would
// be considered alive for ever.
func (d *failureDetector) reportTimeouts(now time.Duration) {
	var reported []Record
	for _, id := range d.table.monitored {
		record := &d.table.entries[id].record
		timer := d.timers[id]
		if id == d.self || !d.hasTimedOut(now, timer, record) {
			continue
		}
		timer.timedOutVersion = record.MonitorSetVersion
		withReport := record.clone()
		withReport.addTimeoutReport(TimeoutReport{
			Monitor:           d.self,
			MonitorBoot:       d.boot,
			Incarnation:       record.Info.Incarnation,
			MonitorSetVersion: record.MonitorSetVersion,
		})
		reported = append(reported, withReport)
	}
	for _, record := range reported {
		d.table.merge(now, record)
	}
}

// hasTimedOut tells whether a member has to be reported and hasn't been yet.
func (d *failureDetector) hasTimedOut(now time.Duration, timer *heartbeatTimer, record *Record) bool {
	return record.State != StateLeft &&
		timer.timedOutVersion < record.MonitorSetVersion &&
		now-timer.lastHeard >= d.timeout
}
